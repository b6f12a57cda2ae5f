/**
 * Tickets, which ensure that a non-repeatable query runs at most once.
 *
 * @module
 */
export * from "./tickets.js";
