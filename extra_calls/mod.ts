/**
 * Budgets of extra calls: hedges and retries.
 *
 * @module
 */
export * from "./extra_call_budgets.js";
export * from "./sliding_window_counter.js";
