/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./box_telemetry.js";
export * from "./run_telemetry.js";
