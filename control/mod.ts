/**
 * Control plane of every daemon: membership, configuration and lifecycle.
 *
 * @module
 */
export * from "./control.js";
export * from "./control_messages.js";
export * from "./control_state.js";
export * from "./isolation.js";
export * from "./ownership.js";
