/**
 * Queries under which leafs end: how they are told from others, and what is done with them.
 *
 * @module
 */
export * from "./request_fingerprint.js";
