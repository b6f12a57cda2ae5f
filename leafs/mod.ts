/**
 * Leafs: which ones a box believes in, how they behave, and which is asked next.
 *
 * @module
 */
export * from "./choose_leaf.js";
export * from "./leaf.js";
export * from "./leaf_health.js";
export * from "./leaf_slowdown.js";
export * from "./leaf_table.js";
