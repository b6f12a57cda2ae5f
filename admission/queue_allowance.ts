/**
 * Maximum queueing delay for each route, above which new requests are refused. Under overload,
 * accepted requests are then answered in time and less urgent requests are refused first.
 *
 * @module
 */

/** A route whose requests go to all shards of an index. */
export interface QueuedRoute {
  readonly name: string;
  /** Latency objective, in milliseconds. */
  readonly aimMs: number;
  /** Priority rank; 0 is the most urgent. */
  readonly priorityRank: number;
  /** Services that serve the shards. */
  readonly shards: ReadonlyArray<string>;
}

/**
 * Fraction of the latency objective that may be spent in queues. The remainder is for the network
 * and for processing, where a query over many shards waits for the slowest leaf.
 */
const QUEUE_OBJECTIVE_SHARE = 0.15;

/** Fraction of a more urgent route's allowance that a route may use, per rank of difference. */
const LESS_URGENT_SHARE = 0.7;

/**
 * Computes the queue allowances of routes that query all shards. Routes to a single leaf have none,
 * as their late answers are still useful.
 *
 * @param routes - The routes that query all shards.
 * @returns Queue allowances by route name, in milliseconds.
 */
export function queueAllowancesMs(routes: ReadonlyArray<QueuedRoute>): ReadonlyMap<string, number> {
  const objectives = shortestObjectives(routes);
  const allowances = new Map<string, number>();
  for (const route of routes) {
    const byRank = objectives.get(indexOf(route) ?? "");
    if (byRank !== undefined) {
      allowances.set(route.name, allowanceMs(route, byRank));
    }
  }
  return allowances;
}

/** Shortest latency objective of the routes of each priority rank, in milliseconds. */
type ObjectivesByRank = ReadonlyMap<number, number>;

/** Identifies an index by its first shard, as routes over the same index list the same shards. */
function indexOf({ shards }: QueuedRoute): string | undefined {
  return shards[0];
}

function shortestObjectives(
  routes: ReadonlyArray<QueuedRoute>,
): ReadonlyMap<string, ObjectivesByRank> {
  const objectives = new Map<string, Map<number, number>>();
  for (const route of routes) {
    const index = indexOf(route);
    if (index !== undefined) {
      const byRank = objectives.get(index) ?? new Map<number, number>();
      const shortest = byRank.get(route.priorityRank) ?? Number.POSITIVE_INFINITY;
      byRank.set(route.priorityRank, Math.min(shortest, route.aimMs));
      objectives.set(index, byRank);
    }
  }
  return objectives;
}

function allowanceMs({ aimMs, priorityRank }: QueuedRoute, byRank: ObjectivesByRank): number {
  let shortestMs = aimMs;
  for (const [rank, otherObjectiveMs] of byRank) {
    if (rank < priorityRank) {
      shortestMs = Math.min(
        shortestMs,
        otherObjectiveMs * LESS_URGENT_SHARE ** (priorityRank - rank),
      );
    }
  }
  return shortestMs * QUEUE_OBJECTIVE_SHARE;
}
