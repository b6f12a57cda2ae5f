/**
 * Building blocks of the daemons' cores: state transitions and effects as data.
 *
 * @module
 */
export * from "./effects.js";
export * from "./step.js";
