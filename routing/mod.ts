/**
 * Routes: how a request's host and path decide which services answer it.
 *
 * @module
 */
export * from "./configuration.js";
export * from "./route_table.js";
export * from "./select_service.js";
