/**
 * Queries in flight: planned against one snapshot and settled shard by shard.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import { andThen, forEachStep, logInfo, step } from "../core/mod.js";
import { coverageRatio, isSettled, pinSnapshot, settleShard } from "../query/mod.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import type { SettledFetch } from "./fetches.js";
import { finishQuery, isUrgent } from "./finish_query.js";
import { requestShards } from "./shard_requests.js";

/** Minimum remaining time for a restart at another snapshot, in milliseconds. */
const MIN_REPLAN_MS = 20;

/**
 * Adds a query and sets its deadline; its shards are not requested yet.
 *
 * @param state - The entry's state.
 * @param query - The query, with its snapshot pinned.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function addQuery(state: EntryState, query: Query, nowMs: number): EntryStep {
  const inFlight = (state.inFlightByService.get(query.request.service) ?? 0) + 1;
  const added: EntryState = {
    ...state,
    queries: state.queries.set(query.queryId, query),
    queryByHash:
      query.joinKey === ""
        ? state.queryByHash
        : state.queryByHash.set(query.joinHash, query.queryId),
    inFlightByService: state.inFlightByService.set(query.request.service, inFlight),
    urgentInFlight: state.urgentInFlight + (isUrgent(query) ? 1 : 0),
  };
  const deadline = {
    kind: "setTimer",
    timer: { kind: "queryDeadline", id: query.queryId },
    delayMs: query.deadlineAtMs - nowMs,
  } as const;
  return step<EntryState, EntryEffect>(added, deadline);
}

/**
 * Starts a query that was added: requests each shard of its snapshot.
 *
 * @param state - The entry's state.
 * @param queryId - The query.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function startQuery(state: EntryState, queryId: string, nowMs: number): EntryStep {
  const query = state.queries.get(queryId);
  if (query === undefined) {
    return step(state);
  }
  return startFetches(state, { ...query, startedAtMs: nowMs }, nowMs);
}

function startFetches(state: EntryState, query: Query, nowMs: number): EntryStep {
  const { result, settled } = requestShards(state, query, nowMs);
  return andThen(result, (next) => settleAll(next, settled, nowMs));
}

/**
 * Applies the outcomes of ended fetches to the queries that wait for them.
 *
 * @param state - The entry's state.
 * @param settled - Fetches that ended.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function settleAll(
  state: EntryState,
  settled: ReadonlyArray<SettledFetch>,
  nowMs: number,
): EntryStep {
  const updatedIds = new Set<string>();
  let next = state;
  for (const { fetch, outcome } of settled) {
    for (const queryId of fetch.waiters) {
      const query = next.queries.get(queryId);
      if (query !== undefined && query.group.snapshot === fetch.snapshot) {
        const group = settleShard(query.group, fetch.shard, outcome);
        const retryAfterMs = Math.max(query.retryAfterMs, fetch.lastRetryAfterMs);
        const fetchIds = query.fetchIds.delete(fetch.shard);
        const mayHaveRun = query.mayHaveRun || outcome.kind === "included" || !outcome.notRun;
        const updated = { ...query, group, retryAfterMs, fetchIds, mayHaveRun };
        next = { ...next, queries: next.queries.set(queryId, updated) };
        updatedIds.add(queryId);
      }
    }
  }
  return forEachStep(step<EntryState, EntryEffect>(next), updatedIds, (current, queryId) =>
    finishIfDone(current, queryId, nowMs),
  );
}

function finishIfDone(state: EntryState, queryId: string, nowMs: number): EntryStep {
  const query = state.queries.get(queryId);
  if (query === undefined) {
    return step(state);
  }
  if (isSettled(query.group)) {
    return shouldReplan(state, query, nowMs)
      ? replan(state, query, nowMs)
      : finishQuery(state, query, { unsettledReason: "deadline", nowMs });
  }
  return coverageRatio(query.group) >= query.finishCoverage
    ? finishQuery(state, query, { unsettledReason: "early finish", nowMs })
    : step(state);
}

/**
 * Returns whether to restart a query at the current snapshot: at most once, and only if leafs have
 * dropped the snapshot that it reads.
 */
function shouldReplan(state: EntryState, query: Query, nowMs: number): boolean {
  const current = state.control.catalog.shardMaps.get(query.request.service)?.currentSnapshot;
  const isUnavailable = [...query.group.settled.values()].some((outcome) => {
    return (
      outcome.kind === "lacking" &&
      (outcome.reason === "wrong snapshot" || outcome.reason === "not held")
    );
  });
  return (
    isUnavailable &&
    query.request.repeatable &&
    query.earlierGroup === undefined &&
    current !== undefined &&
    current !== query.group.snapshot &&
    query.deadlineAtMs - nowMs >= MIN_REPLAN_MS
  );
}

function replan(state: EntryState, query: Query, nowMs: number): EntryStep {
  const shardMap = state.control.catalog.shardMaps.get(query.request.service);
  const spec = shardMap?.snapshots.find((each) => each.snapshot === shardMap.currentSnapshot);
  if (spec === undefined) {
    return finishQuery(state, query, { unsettledReason: "deadline", nowMs });
  }
  const replanned: Query = {
    ...query,
    group: pinSnapshot(spec),
    earlierGroup: query.group,
    fetchIds: ImmutableMap(),
  };
  const log = logInfo("query", `restarts ${query.queryId} at ${spec.snapshot}`, {
    earlier: query.group.snapshot,
  });
  return andThen(step<EntryState, EntryEffect>(state, log), (logged) =>
    startFetches(logged, replanned, nowMs),
  );
}
