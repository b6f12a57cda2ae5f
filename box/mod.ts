/**
 * The box daemon: one process a box that takes requests, asks leafs and answers.
 *
 * @module
 */

export * from "./box_report.js";
export * from "./box_shell.js";
export * from "./route_policies.js";
