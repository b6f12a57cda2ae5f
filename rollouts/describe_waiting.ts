/**
 * Describes for operators what the coordination of an order waits for.
 *
 * @module
 */
import { deadlineOf, missingFor, remainingCalls } from "./_coordination_facts.js";
import type { CoordinationState } from "./coordination_types.js";

type Descriptions = {
  readonly [K in CoordinationState["kind"]]: (
    state: Extract<CoordinationState, { readonly kind: K }>,
  ) => string;
};

const DESCRIPTIONS: Descriptions = {
  following: () => "the coordinator",
  recording: () => "the store to record the order",
  observing: ({ facts }) => {
    const { leafs, nowMs, order } = facts;
    if (!leafs.canServeAlone) {
      return leafs.targetCount === 0
        ? "a leaf of the target"
        : "the target to be able to serve alone";
    }
    const leftMs = deadlineOf(order) - nowMs;
    const left = Math.floor(remainingCalls(facts));
    return leftMs > 0
      ? `the switch before the deadline in ${(leftMs / 1_000).toFixed(1)} s`
      : `the next attempt, ${left} calls left`;
  },
  claiming: () => "the store to record the attempt",
  switching: ({ facts, own }) => `confirmation by ${missingFor(facts, own).join(", ")}`,
  completing: () => "the store's answer to completed",
  rollingBack: () => "the store's answer to rolled_back",
  settled: () => "nothing",
};

/**
 * Describes what an order waits for.
 *
 * @param state - State of its coordination.
 * @returns The description.
 */
export function describeWaiting(state: CoordinationState): string {
  return (DESCRIPTIONS[state.kind] as (state: CoordinationState) => string)(state);
}
