/**
 * The entry daemon: serves callers and operators; admits, plans and answers queries.
 *
 * @module
 */
export * from "./entry_core.js";
export * from "./entry_messages.js";
export * from "./entry_state.js";
