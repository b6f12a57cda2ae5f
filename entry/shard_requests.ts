/**
 * Requests the shards of a query: each joins an identical fetch in flight or starts a new one.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import {
  andThen,
  countOne,
  forEachStep,
  logInfo,
  step,
  type TelemetryEffect,
} from "../core/mod.js";
import { fnv1a } from "../hashing/mod.js";
import { creditFirstCalls, FULL_BUDGET } from "../limits/mod.js";
import { PRIORITY_RANKS } from "../model/mod.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Fetch, Query } from "./entry_state.js";
import { type SettledFetch, startFetch } from "./fetches.js";

/** Share of a query's remaining time that a fetch in flight must have left to be joined. */
const JOIN_TIME_SHARE = 0.5;

/** A step that requested shards, with the fetches that settled immediately. */
interface ShardsRequested {
  readonly result: EntryStep;
  readonly settled: ReadonlyArray<SettledFetch>;
}

/**
 * Requests all shards of a query's group and logs their placement.
 *
 * @param state - The entry's state.
 * @param query - The query, which is in the state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step, and the fetches that settled immediately.
 */
export function requestShards(state: EntryState, query: Query, nowMs: number): ShardsRequested {
  const specs = shardSpecs(state, query);
  const settled: Array<SettledFetch> = [];
  const fetchIds = new Map<string, string>();
  const shapeKey = shapeKeyOf(query);
  const credited = creditQuery(state, query, specs.length);
  const requested = forEachStep(step<EntryState, EntryEffect>(credited), specs, (next, spec) => {
    const joined = fetchShard(next, { query, shapeKey, ...spec, nowMs });
    settled.push(...joined.settled);
    fetchIds.set(spec.shard, joined.fetchId);
    return joined;
  });
  const updated = { ...query, fetchIds: ImmutableMap(fetchIds) };
  const result = andThen(requested, (next) =>
    step<EntryState, EntryEffect>(
      { ...next, queries: next.queries.set(query.queryId, updated) },
      placementLog(next, updated),
    ),
  );
  return { result, settled };
}

function shardSpecs(state: EntryState, { request, group }: Query) {
  const shardMap = state.control.catalog.shardMaps.get(request.service);
  return shardMap?.snapshots.find((each) => each.snapshot === group.snapshot)?.shards ?? [];
}

function placementLog(state: EntryState, query: Query): TelemetryEffect {
  const placed: Record<string, string> = {};
  for (const [shard, fetchId] of query.fetchIds) {
    const attempt = state.fetches.get(fetchId)?.attempts[0];
    placed[shard] = attempt === undefined ? "nowhere" : `${attempt.leafId} by ${attempt.poolId}`;
  }
  return logInfo("placement", `placed ${query.queryId} by ${query.placement}`, {
    service: query.request.service,
    snapshot: query.group.snapshot,
    placed,
  });
}

/**
 * First calls add to the budget for hedges and retries; shared calls count too, as they reduce
 * load.
 */
function creditQuery(state: EntryState, { request }: Query, calls: number): EntryState {
  const { service } = request;
  const config = state.control.catalog.services.get(service)?.config;
  const budget = creditFirstCalls(state.extraLoadBudgets.get(service) ?? FULL_BUDGET, calls, {
    extraLoadShare: config?.limits.extraLoadShare ?? 0,
  });
  return { ...state, extraLoadBudgets: state.extraLoadBudgets.set(service, budget) };
}

interface FetchShardOptions {
  readonly query: Query;
  readonly shapeKey: string;
  readonly shard: string;
  readonly leafIds: ReadonlyArray<string>;
  readonly nowMs: number;
}

interface FetchShardStep extends EntryStep {
  readonly fetchId: string;
  readonly settled: ReadonlyArray<SettledFetch>;
}

/** Joins an identical fetch in flight or starts one. */
function fetchShard(
  state: EntryState,
  { query, shapeKey, shard, leafIds, nowMs }: FetchShardOptions,
): FetchShardStep {
  const { request, group } = query;
  const shareKey = request.repeatable ? `${shapeKey} ${shard}` : "";
  const shareHash = fnv1a(shareKey);
  const existing = state.fetches.get(state.fetchByHash.get(shareHash) ?? "");
  const isSame = shareKey !== "" && existing?.shareKey === shareKey;
  if (isSame && mayJoin(existing, query, nowMs)) {
    const joined: Fetch = {
      ...existing,
      waiters: [...existing.waiters, query.queryId],
      deadlineAtMs: Math.max(existing.deadlineAtMs, query.deadlineAtMs),
    };
    return {
      ...step<EntryState, EntryEffect>(
        { ...state, fetches: state.fetches.set(existing.fetchId, joined) },
        countOne("leaf.shared_calls", { service: request.service }),
      ),
      fetchId: existing.fetchId,
      settled: [],
    };
  }
  const fetchId = String(state.nextId);
  const fetch: Fetch = {
    fetchId,
    shareKey,
    shareHash,
    rights: request.rights,
    service: request.service,
    snapshot: group.snapshot,
    shard,
    leafIds,
    bodyJson: query.bodyJson,
    repeatable: request.repeatable,
    placement: query.placement,
    retriesLeft: query.retries,
    deadlineAtMs: query.deadlineAtMs,
    priorityRank: PRIORITY_RANKS[request.priority],
    waiters: [query.queryId],
    attempts: [],
    startedAtMs: nowMs,
    lastReason: "no replica",
    lastRetryAfterMs: 0,
    awaitsPoolSinceMs: undefined,
  };
  const counted = { ...state, nextId: state.nextId + 1 };
  const started = startFetch(counted, fetch, nowMs);
  return { ...started, fetchId, settled: started.settled === undefined ? [] : [started.settled] };
}

/**
 * A fetch that is less urgent, or whose deadline is much earlier than the query's, is not joined.
 */
function mayJoin(fetch: Fetch, query: Query, nowMs: number): boolean {
  const leftMs = fetch.deadlineAtMs - nowMs;
  const wantedMs = query.deadlineAtMs - nowMs;
  const urgentEnough = fetch.priorityRank <= PRIORITY_RANKS[query.request.priority];
  return urgentEnough && leftMs >= wantedMs * JOIN_TIME_SHARE;
}

/** Key of what shared calls must have in common, rights included, except the shard. */
function shapeKeyOf({ request, group, bodyJson }: Query): string {
  return JSON.stringify([request.service, group.snapshot, request.rights, bodyJson]);
}
