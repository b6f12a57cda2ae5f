/**
 * The operators' command line.
 *
 * @module
 */
export * from "./run_command.js";
