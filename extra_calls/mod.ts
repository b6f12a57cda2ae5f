/**
 * Extra calls: when a shard is asked again, and which budget pays for it.
 *
 * @module
 */
export * from "./extra_call_budgets.js";
export * from "./sliding_window_counter.js";
