/**
 * Monotonic time that includes suspensions of the box, a measure of the process's stalls, and timeouts that
 * allow for them.
 *
 * @module
 */
export * from "./box_clock.js";
export * from "./stall_meter.js";
export * from "./suspend_aware_clock.js";
export * from "./timeout_signal.js";
