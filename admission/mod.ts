/**
 * Admission: whether a request is begun at all, and when a refused caller may come back.
 *
 * @module
 */
export * from "./hopeless_query.js";
export * from "./overload.js";
export * from "./queue_allowance.js";
export * from "./standing_queue.js";
