/**
 * HTTP client and protocol for calls to leafs.
 *
 * @module
 */
export * from "./leaf_client.js";
export * from "./leaf_protocol.js";
