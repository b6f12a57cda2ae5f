/**
 * Whether a call may go to a leaf at this moment: the one place that every way to a leaf asks.
 *
 * @module
 */
export * from "./block_reason.js";
export * from "./cold_call_quota.js";
export * from "./cold_leafs.js";
export * from "./leaf_access.js";
