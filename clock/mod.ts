/**
 * Monotonic time that includes suspensions of the box, and a measure of the process's stalls.
 *
 * @module
 */
export * from "./box_clock.js";
export * from "./stall_meter.js";
export * from "./suspend_aware_clock.js";
