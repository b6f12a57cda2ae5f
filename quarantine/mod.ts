/**
 * Quarantine of crash-inducing queries: their identification, crash records and call restrictions.
 *
 * @module
 */

export * from "./crash_record.js";
export * from "./quarantine.js";
export * from "./request_fingerprint.js";
