/**
 * What a box reports to operators about an order.
 *
 * @module
 */
import type { AnswerCounts, Rollout } from "../model/mod.js";
import { type CoordinationState, type CoordinatorRole, describeWaiting } from "../rollouts/mod.js";
import type { RolloutReports } from "./_rollout_ports.js";

/** Calls on one route, by side. */
export interface RolloutRouteSummary {
  readonly route: string;
  readonly target: AnswerCounts;
  readonly baseline: AnswerCounts;
}

/** An order as seen by a box. */
export interface RolloutSummary
  extends Pick<
    Rollout,
    "service" | "targetVersion" | "orderPosition" | "state" | "stage" | "attempt" | "isBad"
  > {
  /** Whether the box coordinates; it then has the reports of all boxes. */
  readonly role: CoordinatorRole;
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  /** First calls to the service, as far as the box has reports. */
  readonly requests: number;
  /** Calls to the target, as far as the box has reports. */
  readonly targetCalls: number;
  readonly routes: ReadonlyArray<RolloutRouteSummary>;
  /** Boxes that have confirmed the current attempt, as far as the box has reports. */
  readonly confirmedBoxes: ReadonlyArray<string>;
  /** What the order waits for, as a phrase. */
  readonly waitsFor: string;
}

/**
 * Summarises an order.
 *
 * @param state - State of its coordination.
 * @param reports - Reports that this box has.
 * @returns The summary.
 */
export function summariseRollout(
  state: CoordinationState,
  reports: Pick<RolloutReports, "reportsOf" | "totals">,
): RolloutSummary {
  const { nowMs, order, role } = state.facts;
  const { attempt, isBad, orderPosition, service, stage, targetVersion } = order;
  const { requests, routes, targetCalls } = reports.totals(order);
  const confirmed = reports
    .reportsOf(order)
    .filter(({ confirmedAttempt }) => attempt > 0 && confirmedAttempt === attempt);
  return {
    ...{ service, targetVersion, orderPosition, state: order.state, stage, attempt, isBad, role },
    ...{ requests, targetCalls, routes },
    ageMs: Math.round(nowMs - order.orderedAtMs),
    confirmedBoxes: [...new Set(confirmed.map(({ box }) => box))].toSorted(),
    waitsFor: describeWaiting(state),
  };
}
