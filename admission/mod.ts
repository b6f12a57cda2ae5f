/**
 * Admission: whether a request is begun at all, and when a refused caller may come back.
 *
 * @module
 */
export * from "./infeasible_query.js";
export * from "./overload.js";
export * from "./persistent_queue.js";
export * from "./queue_allowance.js";
