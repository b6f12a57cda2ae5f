/**
 * Whether a call may go to a leaf at this moment: the one place that every way to a leaf asks.
 *
 * @module
 */
export * from "./barrier.js";
export * from "./cold_leafs.js";
export * from "./cold_share.js";
export * from "./leaf_access.js";
