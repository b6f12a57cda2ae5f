/**
 * Latency estimates that take constant space and are updated one observation at a time.
 *
 * @module
 */

export * from "./event_loop_idle.js";
export * from "./mean_estimate.js";
export * from "./quantile_estimate.js";
export * from "./recent_minimum.js";
