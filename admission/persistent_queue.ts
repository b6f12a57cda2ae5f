/**
 * Distinguishes persistent queues from transient ones. A few queries that arrive together cause a
 * short queue at normal load, for which no request should be refused; under overload every sample
 * finds a queue.
 *
 * @module
 */

/** Number of consecutive samples that must find a queue; one sample is taken per planned query. */
const SAMPLE_COUNT = 3;

/** Age at which a sample is discarded, in milliseconds. */
const SAMPLE_TTL_MS = 1_000;

/** One sample of the queueing delay. */
interface QueueSample {
  readonly queueMs: number;
  readonly atMs: number;
}

/** The most recent samples of the queueing delay of one index, the latest last. */
export type QueueSamples = ReadonlyArray<QueueSample>;

/**
 * Adds a sample.
 *
 * @param samples - The previous samples.
 * @param sample - Queueing delay and time of the sample, in milliseconds.
 * @returns The samples that are still valid.
 */
export function addQueueSample(samples: QueueSamples, sample: QueueSample): QueueSamples {
  const recent = samples.filter(({ atMs }) => sample.atMs - atMs < SAMPLE_TTL_MS);
  return [...recent.slice(1 - SAMPLE_COUNT), sample];
}

/**
 * Returns the persistent queueing delay: the minimum of the latest samples.
 *
 * @param samples - The samples.
 * @returns The delay in milliseconds; 0 if there are too few samples.
 */
export function persistentQueueMs(samples: QueueSamples): number {
  return samples.length < SAMPLE_COUNT ? 0 : Math.min(...samples.map(({ queueMs }) => queueMs));
}
