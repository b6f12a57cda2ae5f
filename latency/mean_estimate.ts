/**
 * An exponentially weighted mean.
 *
 * @module
 */

const WEIGHT = 0.2;

/** How a steady mean takes in an observation. */
export interface ClampedMeanOptions {
  /** Most that one observation counts for, as a multiple of the mean. */
  readonly outlierFactor: number;
  /** Weight of one observation, 0 to 1; default 0.2. */
  readonly weight?: number;
}

/**
 * Folds an observation into a mean that a single outlier must not carry away.
 *
 * @param mean - Mean so far; 0 when there is none.
 * @param observed - New observation, in the same unit.
 * @param options - How much one observation counts for.
 * @returns The new mean.
 */
export function updateClampedMean(
  mean: number,
  observed: number,
  { outlierFactor, weight = WEIGHT }: ClampedMeanOptions,
): number {
  if (mean === 0) {
    return observed;
  }
  return mean + weight * (Math.min(observed, mean * outlierFactor) - mean);
}

/**
 * Folds an observation into a mean.
 *
 * @param mean - Mean so far; 0 when there is none.
 * @param observed - New observation, in the same unit.
 * @returns The new mean; the observation itself when it is the first.
 */
export function updateMean(mean: number, observed: number): number {
  return mean === 0 ? observed : mean + WEIGHT * (observed - mean);
}
