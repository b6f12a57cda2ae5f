/**
 * Tells a query whose least share is not to be expected, as too many of its calls will come to nothing and
 * the budgets of extra calls are spent. Refused at once it keeps what budget is left for queries that can be
 * answered; begun it works all leafs in vain and fails its caller after a while.
 *
 * Load pattern: most leafs refuse or lose more than half of their calls for some seconds. A shard then takes
 * one or two extra calls a query, twice what the budgets allow: shared out to all, next to no query reaches
 * its least share of 0.95 (0.1 of the worth); without half of them the others do.
 *
 * @module
 */

/** What is to be expected of one shard. */
export interface ShardExpectation {
  /** Share of the calls to its leaf that come to nothing, 0 to 1. */
  readonly failureRate: number;
  /** Extra calls that its budget allows now. */
  readonly extraCallsLeft: number;
}

/** Why a query was not begun: too few of its parts were to be expected. */
export interface PartsShortfall {
  /** Parts to be expected, one standard deviation added. */
  readonly expectedParts: number;
  /** Parts without which there is no answer. */
  readonly leastParts: number;
}

/** Extra calls that a shard of one query makes at most before its answer is late. */
const MOST_EXTRA = 3;

/**
 * Tells whether a query had better not be begun: even with one standard deviation more parts than expected it
 * would lack its least share.
 *
 * @param chances - What is to be expected of each shard that is asked.
 * @param leastParts - Parts without which there is no answer.
 * @returns The shortfall; nothing where the query has a chance.
 */
export function findShortfall(
  chances: ReadonlyArray<ShardExpectation>,
  leastParts: number,
): PartsShortfall | undefined {
  let mean = 0;
  let variance = 0;
  for (const { extraCallsLeft, failureRate: lossShare } of chances) {
    const calls = 1 + Math.min(MOST_EXTRA, Math.max(0, Math.floor(extraCallsLeft)));
    const chance = 1 - lossShare ** calls;
    mean += chance;
    variance += chance * (1 - chance);
  }
  const expectedParts = mean + Math.sqrt(variance);
  return expectedParts < leastParts ? { expectedParts, leastParts } : undefined;
}
