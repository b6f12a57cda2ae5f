/**
 * Simulated platform and backend servers, for tests, the demo and the benchmarks only.
 *
 * @module
 */

export * from "./backend_standin.js";
export * from "./fleet.js";
export * from "./json_http.js";
export * from "./leaf_standin.js";
export * from "./processes.js";
export * from "./sample_services.js";
export * from "./waiting.js";
