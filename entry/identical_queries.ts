/**
 * Identical queries, which share one answer.
 *
 * @module
 */
import { fnv1a } from "../hashing/mod.js";
import type { EntryState, Query } from "./entry_state.js";

/** Maximum difference between the deadlines of queries that share an answer, in milliseconds. */
const MAX_DEADLINE_DIFFERENCE_MS = 100;

/** Sets a query's join key, which contains everything that determines the answer. */
export function withJoinKey(query: Query): Query {
  const joinKey = joinKeyOf(query);
  return { ...query, joinKey, joinHash: fnv1a(joinKey) };
}

function joinKeyOf({ request, bodyJson, finishCoverage, group, revision }: Query): string {
  const { service, rights, priority, wantedCoverage, merge, repeatable } = request;
  const { snapshot } = group;
  return repeatable
    ? JSON.stringify([
        [service, snapshot, revision, rights, priority, wantedCoverage, finishCoverage],
        merge,
        bodyJson,
      ])
    : "";
}

/** Finds the ID of a running query whose answer this query can share. */
export function findIdenticalQuery(state: EntryState, query: Query): string | undefined {
  const joinKey = joinKeyOf(query);
  const running = state.queries.get(state.queryByHash.get(fnv1a(joinKey)) ?? "");
  if (joinKey === "" || running?.joinKey !== joinKey) {
    return undefined;
  }
  const laterByMs = query.deadlineAtMs - running.deadlineAtMs;
  return laterByMs >= 0 && laterByMs <= MAX_DEADLINE_DIFFERENCE_MS ? running.queryId : undefined;
}
