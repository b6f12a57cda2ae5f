/**
 * A running estimate of a quantile that follows a changing distribution.
 *
 * @module
 */
import { updateClampedMean } from "./mean_estimate.js";

/** An estimate of a latency distribution. */
export interface QuantileEstimate {
  /** Estimated quantile, in milliseconds; 0 before the first observation. */
  readonly quantileMs: number;
  /** Mean of the observations, in milliseconds. Determines the step size. */
  readonly meanMs: number;
  /** Number of observations. */
  readonly count: number;
}

/** An estimate without any observation. */
export const NO_ESTIMATE: QuantileEstimate = { quantileMs: 0, meanMs: 0, count: 0 };

/**
 * Step size, as a fraction of the mean. Small, so that one slow query with many shards has little
 * effect.
 */
const STEP_SHARE = 0.03;

/**
 * Maximum of the estimate, as a multiple of the mean, since it recovers slowly from large values.
 */
const MAX_MEANS = 3;

/**
 * Weight of one observation in the mean. Small, as the observations of a query's shards arrive
 * together.
 */
const MEAN_WEIGHT = 0.02;

/** Maximum value of an observation in the mean, as a multiple of it. */
const OUTLIER_FACTOR = 2;

/**
 * Moves the estimate by a stochastic-gradient step towards the quantile.
 *
 * Source: Robbins and Monro, "A Stochastic Approximation Method", 1951.
 *
 * @param estimate - Current estimate.
 * @param observedMs - New latency, in milliseconds.
 * @param quantile - The quantile to estimate, 0 to 1.
 * @returns The new estimate.
 */
export function updateQuantile(
  estimate: QuantileEstimate,
  observedMs: number,
  { quantile }: { readonly quantile: number },
): QuantileEstimate {
  const meanMs = updateClampedMean(estimate.meanMs, observedMs, {
    outlierFactor: OUTLIER_FACTOR,
    // An arithmetic mean at first, so that the first observations are not overweighted.
    weight: Math.max(MEAN_WEIGHT, 1 / (estimate.count + 1)),
  });
  if (estimate.count === 0) {
    return { quantileMs: observedMs, meanMs, count: 1 };
  }
  const stepMs = STEP_SHARE * meanMs;
  const above = observedMs > estimate.quantileMs;
  const movedMs = estimate.quantileMs + stepMs * (above ? quantile : quantile - 1);
  const quantileMs = Math.min(Math.max(movedMs, 0), meanMs * MAX_MEANS);
  return { quantileMs, meanMs, count: estimate.count + 1 };
}
