/**
 * A running estimate of a quantile that follows a moving distribution.
 *
 * @module
 */
import { updateClampedMean } from "./mean_estimate.js";

/** What is known of a latency's distribution. */
export interface QuantileEstimate {
  /** Estimated quantile, in milliseconds; 0 before the first observation. */
  readonly quantileMs: number;
  /** Mean of the observations, in milliseconds; sets the size of a step. */
  readonly meanMs: number;
  /** Observations so far. */
  readonly count: number;
}

/** An estimate without any observation. */
export const NO_ESTIMATE: QuantileEstimate = { quantileMs: 0, meanMs: 0, count: 0 };

/** Size of a step; small, so that one slow query with many shards does not carry the estimate away. */
const STEP_SHARE = 0.03;

/** Most that the estimate is, as a multiple of the mean; steps are too small to come down from far. */
const MOST_MEANS = 3;

/** Weight of one observation in the mean; light, as all shards of a query come together. */
const MEAN_WEIGHT = 0.02;

/** Most that one observation counts for in the mean, as a multiple of it. */
const OUTLIER_FACTOR = 2;

/**
 * Moves the estimate by a stochastic-gradient step towards the quantile.
 *
 * Source: Robbins and Monro, "A Stochastic Approximation Method", 1951.
 *
 * @param estimate - Estimate so far.
 * @param observedMs - New latency in milliseconds.
 * @param quantile - Which quantile, 0 to 1.
 * @returns The new estimate.
 */
export function updateQuantile(
  estimate: QuantileEstimate,
  observedMs: number,
  { quantile }: { readonly quantile: number },
): QuantileEstimate {
  const meanMs = updateClampedMean(estimate.meanMs, observedMs, {
    outlierFactor: OUTLIER_FACTOR,
    // A running mean at first, so that a cold start weighs no more than its share.
    weight: Math.max(MEAN_WEIGHT, 1 / (estimate.count + 1)),
  });
  if (estimate.count === 0) {
    return { quantileMs: observedMs, meanMs, count: 1 };
  }
  const stepMs = STEP_SHARE * meanMs;
  const above = observedMs > estimate.quantileMs;
  const movedMs = estimate.quantileMs + stepMs * (above ? quantile : quantile - 1);
  const quantileMs = Math.min(Math.max(movedMs, 0), meanMs * MOST_MEANS);
  return { quantileMs, meanMs, count: estimate.count + 1 };
}
