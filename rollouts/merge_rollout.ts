/**
 * Merges two views of the rollout of one service.
 *
 * @module
 */
import type { Rollout, RolloutStage, RolloutState } from "../model/mod.js";

/**
 * Finished over running. Only an order that was removed can be both: boxes that missed its
 * completion then count it as rolled back, while its former leafs have already stopped.
 */
const STATE_RANKS: Readonly<Record<RolloutState, number>> = {
  running: 0,
  rolledBack: 1,
  completed: 2,
};

const STAGE_RANKS: Readonly<Record<RolloutStage, number>> = { gradual: 0, switching: 1 };

/**
 * Merges a received view of a service's rollout into the known one. The result does not depend on
 * the order in which views arrive, nor on how often.
 *
 * @param known - View of this box; `undefined` if it knows none.
 * @param received - View of the store or of another box.
 * @returns The later view, with what both know of its order.
 */
export function mergeRollout(known: Rollout | undefined, received: Rollout): Rollout {
  if (known === undefined) {
    return received;
  }
  const order = compareViews(known, received);
  const later = order < 0 ? received : known;
  if (known.orderPosition !== received.orderPosition) {
    return later;
  }
  return {
    ...later,
    orderedAtMs: Math.min(known.orderedAtMs, received.orderedAtMs),
    isBad: known.isBad || received.isBad,
    retiredVersions:
      order === 0
        ? unionOf(known.retiredVersions, received.retiredVersions)
        : later.retiredVersions,
  };
}

/** Compares by progress. The target and the duration differ within an order only by a fault. */
function compareViews(one: Rollout, other: Rollout): number {
  return (
    one.orderPosition - other.orderPosition ||
    STATE_RANKS[one.state] - STATE_RANKS[other.state] ||
    one.attempt - other.attempt ||
    STAGE_RANKS[one.stage] - STAGE_RANKS[other.stage] ||
    compareTexts(one.targetVersion, other.targetVersion) ||
    one.durationMs - other.durationMs
  );
}

function compareTexts(one: string, other: string): number {
  return one === other ? 0 : one < other ? -1 : 1;
}

function unionOf(
  versions: ReadonlyArray<string>,
  others: ReadonlyArray<string>,
): ReadonlyArray<string> {
  return [...new Set([...versions, ...others])].sort();
}
