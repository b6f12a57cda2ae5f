/**
 * Calls to leafs over persistent connections, and the observed health of each leaf.
 *
 * @module
 */
export * from "./leaf_call.js";
export * from "./leaf_calls.js";
