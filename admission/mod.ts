/**
 * Admission control: whether a request is accepted, and when a refused caller may retry.
 *
 * @module
 */
export * from "./infeasible_query.js";
export * from "./overload.js";
export * from "./persistent_queue.js";
export * from "./queue_allowance.js";
