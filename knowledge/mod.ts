/**
 * What a box believes: the configuration and the leafs, from the store or from other boxes.
 *
 * @module
 */
export * from "./box_knowledge.js";
export * from "./evacuations.js";
export * from "./leaf_news.js";
export * from "./leaf_registry.js";
export * from "./peer_catch_up.js";
export * from "./quarantine_archive.js";
export * from "./registry_watch.js";
export * from "./shared_knowledge.js";
export * from "./store_health.js";
