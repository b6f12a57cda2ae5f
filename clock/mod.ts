/**
 * Monotonic time that includes suspensions of the box.
 *
 * @module
 */
export * from "./box_clock.js";
export * from "./suspend_aware_clock.js";
