/**
 * Boxes that ask leafs near them for boxes of other regions.
 *
 * @module
 */
export type { RelayListener } from "./_order_reader.js";
export type { RelayServerOptions } from "./_relay.js";
export * from "./relay_calls.js";
export * from "./relay_order.js";
export * from "./relay_server.js";
