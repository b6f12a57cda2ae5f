/**
 * Decides whether one variant is better than another, from pairs of runs on the same day and seed.
 *
 * @module
 */

/** Statistics of paired differences. */
export interface PairedDifference {
  readonly pairs: number;
  /** Mean of the differences. */
  readonly mean: number;
  /** Standard deviation of the differences; 0 for a single pair. */
  readonly spread: number;
  readonly verdict: Verdict;
}

/** Verdict on two variants. */
export type Verdict = "better" | "worse" | "no difference beyond the spread" | "too few pairs";

/** Smallest significant mean difference: runs of the same code differ, as processor time varies. */
const NOISE_FLOOR = 0.03;

/** Standard errors by which a mean must differ from 0; about the 95 % confidence interval for five pairs. */
const STANDARD_ERRORS = 2.5;

const MIN_PAIRS = 2;

/**
 * Computes statistics and a verdict from paired differences.
 *
 * @param differences - Worth of the first variant minus that of the second, for each pair.
 * @returns Statistics and verdict.
 */
export function pairedDifference(differences: ReadonlyArray<number>): PairedDifference {
  const pairs = differences.length;
  const mean = pairs === 0 ? 0 : differences.reduce((sum, each) => sum + each, 0) / pairs;
  const squares = differences.reduce((sum, each) => sum + (each - mean) ** 2, 0);
  const spread = pairs < MIN_PAIRS ? 0 : Math.sqrt(squares / (pairs - 1));
  return { pairs, mean, spread, verdict: verdictOf({ pairs, mean, spread }) };
}

function verdictOf({ pairs, mean, spread }: Omit<PairedDifference, "verdict">): Verdict {
  if (pairs < MIN_PAIRS) {
    return "too few pairs";
  }
  const margin = Math.max(NOISE_FLOOR, (STANDARD_ERRORS * spread) / Math.sqrt(pairs));
  if (Math.abs(mean) <= margin) {
    return "no difference beyond the spread";
  }
  return mean > 0 ? "better" : "worse";
}
