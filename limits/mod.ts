/**
 * Limits on admitted requests and on extra load.
 *
 * @module
 */
export * from "./extra_load.js";
export * from "./shared_limit.js";
export * from "./token_bucket.js";
