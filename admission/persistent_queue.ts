/**
 * Tells a queue that stands from one that a few queries make when they meet.
 *
 * Load pattern: at a quarter to half of what leafs carry, two or three queries that come within some
 * 30 ms wait for one another and the leafs are idle again after that; under a burst the wait is there
 * at each look. Refusing for the first kind turned away 5 to 10% of urgent queries on calm seconds.
 *
 * @module
 */

/** Looks in a row that must all have found a wait; a box looks with each query that it plans. */
const LOOKS = 3;

/** Age at which a look counts no more, in milliseconds. */
const LOOK_MS = 1_000;

/** One look at the queues. */
interface Look {
  readonly queueMs: number;
  readonly atMs: number;
}

/** The latest looks at the queues of one index, the latest last. */
export type QueueSamples = ReadonlyArray<Look>;

/**
 * Notes a look.
 *
 * @param looks - The looks so far.
 * @param look - The wait that was found, in milliseconds, and the moment.
 * @returns The looks that still count.
 */
export function addQueueSample(looks: QueueSamples, look: Look): QueueSamples {
  const recent = looks.filter(({ atMs }) => look.atMs - atMs < LOOK_MS);
  return [...recent.slice(1 - LOOKS), look];
}

/**
 * Tells the wait that all latest looks have found.
 *
 * @param looks - The looks.
 * @returns The time in milliseconds; 0 while there are too few looks to tell.
 */
export function persistentQueueMs(looks: QueueSamples): number {
  return looks.length < LOOKS ? 0 : Math.min(...looks.map(({ queueMs }) => queueMs));
}
