/**
 * The lifecycle of a daemon, from its start to its planned stop.
 *
 * @module
 */
export * from "./daemon_lifecycle.js";
