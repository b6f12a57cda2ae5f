/**
 * The box daemon: one process per box that receives requests, calls leafs and responds to callers.
 *
 * @module
 */

export * from "./box_report.js";
export * from "./box_shell.js";
export * from "./rollout_runner.js";
export * from "./route_policies.js";
