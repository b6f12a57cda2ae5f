/**
 * Calls to leafs over kept connections, and what is seen of each leaf.
 *
 * @module
 */
export * from "./leaf_call.js";
export * from "./leaf_calls.js";
