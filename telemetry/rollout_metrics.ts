/**
 * Metrics of rollouts.
 *
 * @module
 */
import { Counter, Gauge, type Registry } from "prom-client";

/** Metrics of rollouts, by service. */
export interface RolloutMetrics {
  readonly targetCalls: Counter<"service">;
  readonly badAnswers: Counter<"service">;
  readonly verdicts: Counter<"service" | "verdict">;
  readonly attempts: Counter<"service">;
  readonly abortedAttempts: Counter<"service">;
  readonly running: Gauge;
}

/**
 * Creates the metrics of rollouts.
 *
 * @param registers - Registries of the metrics.
 * @returns The metrics.
 */
export function createRolloutMetrics(registers: Array<Registry>): RolloutMetrics {
  return {
    targetCalls: new Counter({
      name: "rackvale_rollout_target_calls_total",
      help: "Calls that this box sent to target versions of running orders, by service",
      labelNames: ["service"],
      registers,
    }),
    badAnswers: new Counter({
      name: "rackvale_rollout_bad_answers_total",
      help: "Failed or slow answers of target versions of running orders, by service",
      labelNames: ["service"],
      registers,
    }),
    verdicts: new Counter({
      name: "rackvale_rollout_verdicts_total",
      help: "Verdicts that this box wrote, by service and verdict",
      labelNames: ["service", "verdict"],
      registers,
    }),
    attempts: new Counter({
      name: "rackvale_rollout_attempts_total",
      help: "Attempts to switch all traffic that this box announced, by service",
      labelNames: ["service"],
      registers,
    }),
    abortedAttempts: new Counter({
      name: "rackvale_rollout_aborted_attempts_total",
      help: "Attempts to switch all traffic that this box aborted, by service",
      labelNames: ["service"],
      registers,
    }),
    running: new Gauge({
      name: "rackvale_rollouts_running",
      help: "Running orders that this box knows",
      registers,
    }),
  };
}
