/**
 * Replays load patterns against the decision core in virtual time and scores what callers receive,
 * with all mechanisms or with some of them disabled.
 *
 * @module
 */

export * from "./load_pattern.js";
export * from "./mechanism.js";
export * from "./replay_score.js";
export * from "./run_replay.js";
