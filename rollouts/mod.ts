/**
 * Rollouts: which versions of a service receive calls, and the verdict on a new version.
 *
 * @module
 */

export * from "./coordinate_rollout.js";
export type * from "./coordination_types.js";
export * from "./describe_waiting.js";
export * from "./exposure_credit.js";
export * from "./judge_version.js";
export * from "./merge_rollout.js";
export * from "./report_table.js";
export * from "./rollout_gate.js";
export * from "./version_access.js";
export * from "./version_evidence.js";
