/**
 * Whether one way is better than another, from pairs of plays on the same day and seed.
 *
 * @module
 */

/** What the pairs show. */
export interface PairedDifference {
  readonly pairs: number;
  /** Mean of the differences. */
  readonly mean: number;
  /** Standard deviation of the differences; 0 for a single pair. */
  readonly spread: number;
  readonly verdict: Verdict;
}

/** What can be said of two ways. */
export type Verdict = "better" | "worse" | "no difference beyond the spread" | "too few pairs";

/**
 * Differences below this are noise whatever their spread: the same code played twice on the same day differs by as much,
 * as processor time is measured.
 */
const NOISE = 0.03;

/** Standard errors that a mean must lie away from 0: at five pairs some 95 of 100 chance results lie within. */
const STANDARD_ERRORS = 2.5;

const LEAST_PAIRS = 2;

/**
 * Compares pairs.
 *
 * @param differences - Worth of the one way less that of the other, for each pair.
 * @returns What they show.
 */
export function pairedDifference(differences: ReadonlyArray<number>): PairedDifference {
  const pairs = differences.length;
  const mean = pairs === 0 ? 0 : differences.reduce((sum, each) => sum + each, 0) / pairs;
  const squares = differences.reduce((sum, each) => sum + (each - mean) ** 2, 0);
  const spread = pairs < LEAST_PAIRS ? 0 : Math.sqrt(squares / (pairs - 1));
  return { pairs, mean, spread, verdict: verdictOf({ pairs, mean, spread }) };
}

function verdictOf({ pairs, mean, spread }: Omit<PairedDifference, "verdict">): Verdict {
  if (pairs < LEAST_PAIRS) {
    return "too few pairs";
  }
  const margin = Math.max(NOISE, (STANDARD_ERRORS * spread) / Math.sqrt(pairs));
  if (Math.abs(mean) <= margin) {
    return "no difference beyond the spread";
  }
  return mean > 0 ? "better" : "worse";
}
