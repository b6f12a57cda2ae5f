/**
 * Group membership by gossip between daemons.
 *
 * @module
 */
export * from "./member_order.js";
export * from "./membership.js";
