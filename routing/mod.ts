/**
 * Routes: map a request's host and path to the services that answer it.
 *
 * @module
 */
export * from "./accepted_route.js";
export * from "./allowed_regions.js";
export * from "./configuration.js";
export * from "./route_table.js";
export * from "./service_selector.js";
