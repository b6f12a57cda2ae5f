/**
 * Data types and schemas shared by all modules.
 *
 * @module
 */
export * from "./catalog_object.js";
export type * from "./evacuation_update.js";
export type * from "./fleet_size.js";
export * from "./limits.js";
export * from "./member.js";
export * from "./network_address.js";
export * from "./query.js";
export * from "./request_url.js";
export type * from "./rollout.js";
export * from "./schema.js";
export * from "./service.js";
export * from "./store_position.js";
