/**
 * Detects overload from the queues at the leafs. A request is refused immediately if too many of
 * its shards have long queues, which leaves capacity to requests that can be answered in time.
 *
 * @module
 */

/** Queueing delays that decide whether a request is refused. */
export interface Overload {
  /** Maximum queueing delay that the request tolerates, in milliseconds. */
  readonly mostQueueMs: number;
  /** Current queueing delay: the quantile over the request's shards, in milliseconds. */
  readonly queueMs: number;
  /** Persistent queueing delay: the minimum of the latest samples, in milliseconds. */
  readonly standingMs: number;
}

/**
 * Fraction of shards that must have a longer queueing delay. Slow or pausing leafs alone are fewer;
 * a request that lacks only their parts is answered without them, or late.
 */
const OVERLOADED_SHARE = 0.45;

/**
 * Multiple of the tolerated delay above which a request is refused even if the queue is not
 * persistent.
 */
const EXTREME_QUEUE_FACTOR = 4;

/** Minimum time after which a refused caller may retry, in milliseconds. */
const MIN_RETRY_MS = 300;

/** Time after which a refused caller may retry, as a multiple of the queueing delay. */
const RETRY_FACTOR = 4;

/**
 * Returns the queueing delay that `OVERLOADED_SHARE` of the shards exceed or reach.
 *
 * @param queuesMs - Queueing delay at the leaf of each shard, in milliseconds.
 * @returns The delay in milliseconds; 0 if there are no shards.
 */
export function queueQuantileMs(queuesMs: ReadonlyArray<number>): number {
  const longestFirst = queuesMs.toSorted((a, b) => b - a);
  return longestFirst[Math.floor(OVERLOADED_SHARE * longestFirst.length)] ?? 0;
}

/**
 * Decides whether the leafs are overloaded for a request.
 *
 * @param queues - Current, persistent and tolerated queueing delay.
 * @returns The given delays if the request should be refused, otherwise `undefined`.
 */
export function findOverload(queues: Overload): Overload | undefined {
  const { mostQueueMs, queueMs, standingMs } = queues;
  const isPersistent = queueMs > mostQueueMs && standingMs > mostQueueMs;
  return isPersistent || queueMs > mostQueueMs * EXTREME_QUEUE_FACTOR ? queues : undefined;
}

/**
 * Returns when a refused caller may retry, allowing time for the queues to drain.
 *
 * @param overload - Queueing delays at the time of the refusal.
 * @returns The time from now, in milliseconds.
 */
export function overloadRetryMs({ queueMs }: Overload): number {
  return Math.round(Math.max(MIN_RETRY_MS, queueMs * RETRY_FACTOR));
}
