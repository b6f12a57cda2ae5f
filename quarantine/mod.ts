/**
 * Queries under which leafs end: how they are told from others, and what is done with them.
 *
 * @module
 */

export * from "./crash_record.js";
export * from "./quarantine.js";
export * from "./request_fingerprint.js";
