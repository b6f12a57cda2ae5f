/**
 * The fault soak: runs the real programs as processes, injects faults from outside, and checks
 * invariants.
 *
 * @module
 */
export * from "./fault_plan.js";
export * from "./run_fault_soak.js";
export * from "./run_stop_soak.js";
