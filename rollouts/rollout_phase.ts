/**
 * What each state of an order allows, as seen by one box.
 *
 * @module
 */
import type { Rollout } from "../model/mod.js";
import type { VersionBlockCause } from "./version_access.js";

/** State of an order as seen by one box. */
export type RolloutPhase =
  | "gradual"
  | "gradualBad"
  | "switching"
  | "switchingBad"
  /** The version was judged as bad after this box had confirmed the attempt to switch. */
  | "confirmedBad"
  | "completed"
  | "rolledBack";

/** Why calls are blocked, by the side that they go to; `undefined` if they are allowed. */
export interface PhaseRule {
  /** `withinCredit` if the exposure credit decides. */
  readonly target: VersionBlockCause | "withinCredit" | undefined;
  readonly baseline: VersionBlockCause | undefined;
}

/** What each state allows. */
export const PHASE_RULES: Readonly<Record<RolloutPhase, PhaseRule>> = {
  gradual: { target: "withinCredit", baseline: undefined },
  gradualBad: { target: "bad", baseline: undefined },
  switching: { target: undefined, baseline: "switching" },
  switchingBad: { target: "bad", baseline: undefined },
  confirmedBad: { target: "bad", baseline: "switching" },
  // The versions that were replaced are retired; others may have been started since.
  completed: { target: undefined, baseline: undefined },
  rolledBack: { target: "retired", baseline: undefined },
};

/** What a box has decided about a running order. */
export interface OrderDecisions {
  /** Latest attempt that the box has confirmed; 0 if none. */
  readonly confirmedAttempt: number;
  /** Whether the box, or any other, has judged the target version as bad. */
  readonly isBad: boolean;
}

/**
 * Returns whether the order's current attempt is confirmed by the box. A confirmed attempt stays
 * confirmed until a later one, whatever stage an earlier view of the order shows.
 *
 * @param rollout - The order.
 * @param decisions - What the box has decided.
 * @returns Whether it is confirmed.
 */
export function isConfirmed(
  { attempt }: Pick<Rollout, "attempt">,
  { confirmedAttempt }: Pick<OrderDecisions, "confirmedAttempt">,
): boolean {
  return confirmedAttempt > 0 && confirmedAttempt >= attempt;
}

/**
 * Determines the state of an order for one box.
 *
 * @param rollout - The order.
 * @param decisions - What the box has decided.
 * @returns The state.
 */
export function rolloutPhase(rollout: Rollout, decisions: OrderDecisions): RolloutPhase {
  if (rollout.state !== "running") {
    return rollout.state;
  }
  if (isConfirmed(rollout, decisions)) {
    return decisions.isBad ? "confirmedBad" : "switching";
  }
  if (rollout.stage === "switching") {
    return decisions.isBad ? "switchingBad" : "switching";
  }
  return decisions.isBad ? "gradualBad" : "gradual";
}
