/**
 * Mechanisms of the decision core that a run can disable, to measure their effect.
 *
 * @module
 */

/** Names of the mechanisms, as given on the command line. */
export const MECHANISMS = [
  "hedging",
  "refusals",
  "standing-queues",
  "loss-shares",
  "silence",
  "waiting-clock",
  "told-losses",
  "told-queues",
  "relays",
  "hopeless-refusals",
  "reported-pace",
  "objective",
] as const;

/** A mechanism that a run can disable. */
export type Mechanism = (typeof MECHANISMS)[number];

/** Mechanisms that are disabled in a run. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;
