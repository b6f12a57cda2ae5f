/**
 * The fault soak: real programs as processes, with faults from outside of them, and the promises
 * checked while it runs.
 *
 * @module
 */
export * from "./fault_plan.js";
export * from "./run_fault_soak.js";
