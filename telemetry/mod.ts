/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./box_telemetry.js";
export type * from "./rollout_metrics.js";
export * from "./run_telemetry.js";
