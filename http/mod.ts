/**
 * HTTP servers of the daemons: listening, and the connections in a planned stop.
 *
 * @module
 */
export * from "./finish_requests.js";
export * from "./http_connections.js";
export * from "./listen.js";
export * from "./next_poll.js";
