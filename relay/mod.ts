/**
 * Boxes that ask leafs near them for boxes of other regions.
 *
 * @module
 */

export type { RelayServerOptions } from "./_relay.js";
export type { RelayListener } from "./_relay_response_reader.js";
export * from "./relay_calls.js";
export * from "./relay_request.js";
export * from "./relay_server.js";
