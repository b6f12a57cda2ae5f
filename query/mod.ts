/**
 * Assembly of query answers: rows, coverage and outcome.
 *
 * @module
 */
export * from "./merge_rows.js";
export * from "./naive_gather.js";
export * from "./snapshot_group.js";
export * from "./summarise_group.js";
