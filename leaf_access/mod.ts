/**
 * Decides whether a call may be sent to a leaf. Every path to a leaf checks here.
 *
 * @module
 */
export * from "./block_reason.js";
export * from "./cold_call_quota.js";
export * from "./cold_leafs.js";
export * from "./leaf_access.js";
