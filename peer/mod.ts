/**
 * Communication between daemons over Connect calls and streams.
 *
 * @module
 */
export * from "./_codec.js";
export * from "./peer_client.js";
export * from "./peer_server.js";
export * from "./push_queue.js";
