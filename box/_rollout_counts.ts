/**
 * Updates the metrics of rollouts.
 *
 * @module
 */
import type { RolloutReport } from "../model/mod.js";
import type { RolloutCount } from "../rollouts/mod.js";
import type { RolloutMetrics } from "../telemetry/mod.js";

/** Calls and bad answers of one order that the metrics already include. */
export interface CountedCalls {
  readonly targetCalls: number;
  readonly badAnswers: number;
}

/**
 * Adds the increase of a report to the metrics.
 *
 * @param metrics - The metrics.
 * @param counted - What the metrics include of the order so far.
 * @param report - This box's report on the order.
 * @returns What the metrics include of the order from now on.
 */
export function countCalls(
  metrics: RolloutMetrics,
  counted: CountedCalls,
  { routes, service, targetCalls }: RolloutReport,
): CountedCalls {
  const badAnswers = routes.reduce((sum, { target }) => sum + target.failed + target.slow, 0);
  metrics.targetCalls.inc({ service }, Math.max(0, targetCalls - counted.targetCalls));
  metrics.badAnswers.inc({ service }, Math.max(0, badAnswers - counted.badAnswers));
  return { targetCalls, badAnswers };
}

/** Increments the counter of an event, by event. */
type EventCounters = {
  readonly [K in RolloutCount]: (metrics: RolloutMetrics, service: string) => void;
};

const EVENT_COUNTERS: EventCounters = {
  attempt: ({ attempts }, service) => attempts.inc({ service }),
  abortedAttempt: ({ abortedAttempts }, service) => abortedAttempts.inc({ service }),
  completed: ({ verdicts }, service) => verdicts.inc({ service, verdict: "completed" }),
  rolledBack: ({ verdicts }, service) => verdicts.inc({ service, verdict: "rolled_back" }),
};

/**
 * Counts an event of the coordination.
 *
 * @param metrics - The metrics.
 * @param service - Service of the order.
 * @param count - The event.
 */
export function countRolloutEvent(
  metrics: RolloutMetrics,
  service: string,
  count: RolloutCount,
): void {
  EVENT_COUNTERS[count](metrics, service);
}
