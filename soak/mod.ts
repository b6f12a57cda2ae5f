/**
 * Simulates several boxes in virtual time, with fakes at their ports and seeded faults.
 *
 * @module
 */
export * from "./run_soak.js";
