/**
 * Detects infeasible queries: those that are not expected to reach their minimum coverage, because
 * too many calls fail and the budgets for extra calls are exhausted. Refusing them immediately
 * saves leaf capacity and leaves the remaining budget to queries that can succeed.
 *
 * @module
 */

/** Expected behaviour of one shard. */
export interface ShardExpectation {
  /** Failure rate of calls to the selected leaf, 0 to 1. */
  readonly failureRate: number;
  /** Extra calls that the shard's budget currently allows. */
  readonly extraCallsLeft: number;
}

/** Details of an infeasible query. A part is the result of one shard. */
export interface PartsShortfall {
  /** Expected number of parts plus one standard deviation. */
  readonly expectedParts: number;
  /** Minimum number of parts for an answer. */
  readonly leastParts: number;
}

/** Maximum number of extra calls per shard that still finish in time. */
const MAX_EXTRA_CALLS = 3;

/**
 * Returns the shortfall of a query that would not reach its minimum number of parts even with one
 * standard deviation more parts than expected.
 *
 * @param shards - Expected behaviour of each shard of the query.
 * @param leastParts - Minimum number of parts for an answer.
 * @returns The shortfall, or `undefined` if the query is feasible.
 */
export function findShortfall(
  shards: ReadonlyArray<ShardExpectation>,
  leastParts: number,
): PartsShortfall | undefined {
  let mean = 0;
  let variance = 0;
  for (const { extraCallsLeft, failureRate } of shards) {
    const calls = 1 + Math.min(MAX_EXTRA_CALLS, Math.max(0, Math.floor(extraCallsLeft)));
    const successRate = 1 - failureRate ** calls;
    mean += successRate;
    variance += successRate * (1 - successRate);
  }
  const expectedParts = mean + Math.sqrt(variance);
  return expectedParts < leastParts ? { expectedParts, leastParts } : undefined;
}
