/**
 * Estimates of latency that take constant space and are updated with one observation at a time.
 *
 * @module
 */

export * from "./event_loop_idle.js";
export * from "./mean_estimate.js";
export * from "./quantile_estimate.js";
