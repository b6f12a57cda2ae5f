/**
 * The smallest of recent samples, in constant space.
 *
 * @module
 */

/** The smallest samples of the current and the previous period. */
export interface RecentMinimum {
  readonly current: number;
  readonly previous: number;
  /** Start of the current period, in milliseconds. */
  readonly sinceMs: number;
}

/** A sample and when it is taken. */
export interface MinimumSample {
  readonly value: number;
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  /** Length of a period, in milliseconds; a sample counts for one to two periods. */
  readonly periodMs: number;
}

/**
 * Adds a sample.
 *
 * @param minimum - Former samples; `undefined` if there are none.
 * @param sample - The sample.
 * @returns The smallest samples, including this one.
 */
export function addMinimumSample(
  minimum: RecentMinimum | undefined,
  { value, nowMs, periodMs }: MinimumSample,
): RecentMinimum {
  const ageMs = nowMs - (minimum?.sinceMs ?? Number.NEGATIVE_INFINITY);
  if (minimum === undefined || ageMs > 2 * periodMs) {
    return { current: value, previous: value, sinceMs: nowMs };
  }
  if (ageMs > periodMs) {
    return { current: value, previous: minimum.current, sinceMs: nowMs };
  }
  return { ...minimum, current: Math.min(minimum.current, value) };
}

/**
 * Returns the smallest sample of the current and the previous period.
 *
 * @param minimum - The samples.
 * @returns The smallest one.
 */
export function smallestOf({ current, previous }: RecentMinimum): number {
  return Math.min(current, previous);
}
