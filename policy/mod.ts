/**
 * Policy programs: CEL expressions that decide on placement, rate limits, retries, refusal and
 * coverage.
 *
 * @module
 */
export * from "./compile_policy.js";
export * from "./evaluate_policy.js";
export * from "./policy_input.js";
