/**
 * Mechanisms of the decision core that a run can go without, to see what they are worth.
 *
 * @module
 */

/** Names of the mechanisms. */
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

/** A mechanism that a run can go without. */
export type Mechanism = (typeof MECHANISMS)[number];

/** What a run goes without. */
export type Without = ReadonlySet<Mechanism>;
