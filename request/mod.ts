/**
 * The state machine of one caller's request: which leafs are called, when calls are hedged or
 * retried, and what is replied.
 *
 * @module
 */
export * from "./failed_part.js";
export * from "./missing_parts.js";
export * from "./record_merge.js";
export * from "./record_threshold.js";
export * from "./request_core.js";
export * from "./request_state.js";
