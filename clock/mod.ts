/**
 * The time that has passed, also while the box was suspended.
 *
 * @module
 */
export * from "./box_clock.js";
export * from "./suspend_aware_clock.js";
