/**
 * Fleet membership: which boxes exist, which of them serve and watch the store, and the datagrams
 * that they exchange.
 *
 * @module
 */
export * from "./advised_boxes.js";
export * from "./box_weight.js";
export * from "./caller_addresses.js";
export * from "./fleet_link.js";
export * from "./fleet_messages.js";
export * from "./fleet_view.js";
export * from "./known_fleet_size.js";
export * from "./relay_places.js";
export * from "./rollout_messages.js";
export * from "./round_trips.js";
export * from "./self_member.js";
export * from "./serving_boxes.js";
export * from "./store_watchers.js";
