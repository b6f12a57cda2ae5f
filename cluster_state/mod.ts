/**
 * State of the cluster as a box knows it from the store and from other boxes: the configuration,
 * the leafs and the evacuations.
 *
 * @module
 */
export * from "./cluster_state.js";
export * from "./cluster_state_options.js";
export * from "./evacuations.js";
export * from "./fleet_roster.js";
export * from "./leaf_change_log.js";
export * from "./leaf_registry.js";
export * from "./peer_catch_up.js";
export * from "./quarantine_archive.js";
export * from "./rollout_orders.js";
export * from "./shared_state.js";
export * from "./store_health.js";
export * from "./store_watch.js";
