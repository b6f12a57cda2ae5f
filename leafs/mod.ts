/**
 * Leafs: the table of known leafs, their observed health, and the selection of the leaf to call.
 *
 * @module
 */
export * from "./choose_by_version.js";
export * from "./choose_leaf.js";
export * from "./leaf.js";
export * from "./leaf_health.js";
export * from "./leaf_slowdown.js";
export * from "./leaf_table.js";
