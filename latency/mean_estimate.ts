/**
 * Exponentially weighted means.
 *
 * @module
 */

const WEIGHT = 0.2;

/** How a clamped mean weighs an observation. */
export interface ClampedMeanOptions {
  /** Maximum value of an observation, as a multiple of the mean. */
  readonly outlierFactor: number;
  /** Weight of one observation, 0 to 1; default 0.2. */
  readonly weight?: number;
}

/**
 * Updates a mean with an observation, clamped so that a single outlier has little effect.
 *
 * @param mean - Current mean; 0 if there is none.
 * @param observed - New observation, in the same unit.
 * @param options - Weight and limit of the observation.
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
 * Updates a mean with an observation.
 *
 * @param mean - Current mean; 0 if there is none.
 * @param observed - New observation, in the same unit.
 * @returns The new mean; the observation itself if it is the first.
 */
export function updateMean(mean: number, observed: number): number {
  return mean === 0 ? observed : mean + WEIGHT * (observed - mean);
}
