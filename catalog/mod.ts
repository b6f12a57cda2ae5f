/**
 * Every daemon's copy of the persistent configuration objects.
 *
 * @module
 */
export * from "./catalog.js";
export * from "./submit_object.js";
