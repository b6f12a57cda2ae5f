/**
 * One caller's request: which leafs it is sent to, when again, and what is answered.
 *
 * @module
 */
export * from "./failed_part.js";
export * from "./record_merge.js";
export * from "./record_threshold.js";
export * from "./request_core.js";
export * from "./request_state.js";
