/**
 * The pool daemon, which owns the connections and slots of leafs.
 *
 * @module
 */
export * from "./pool_core.js";
export * from "./pool_messages.js";
export * from "./pool_state.js";
