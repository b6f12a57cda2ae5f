/**
 * Virtual time for reproducible simulations.
 *
 * @module
 */
export * from "./schedule.js";
