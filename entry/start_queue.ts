/**
 * Queue of queries that wait to be started, by priority and then by deadline.
 *
 * An entry starts only as many queries as keep the leafs' slots busy. The others wait here in
 * order, so that urgent queries find short queues at the pools. A query that is predicted to miss
 * its deadline is refused as not run.
 *
 * @module
 */
import { andThen, forEachStep, step } from "../core/mod.js";
import { countAlive } from "../membership/mod.js";
import { PRIORITY_RANKS, type QueryRequest } from "../model/mod.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import { finishQuery, isUrgent } from "./finish_query.js";
import { addQuery, startQuery } from "./queries.js";

/** Calls in flight per slot, over all entries, up to which queries are started. */
const CALLS_PER_SLOT = 3;

/**
 * Adds a query. Starts it if it is urgent, or if its service has room and no queue; queues it
 * otherwise.
 *
 * @param state - The entry's state.
 * @param query - The query.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function startOrEnqueue(state: EntryState, query: Query, nowMs: number): EntryStep {
  return andThen(addQuery(state, query, nowMs), (next) =>
    isUrgent(query) || mayStart(next, query.request.service)
      ? startQuery(next, query.queryId, nowMs)
      : step<EntryState, EntryEffect>({ ...next, waitingIds: insert(next, query) }),
  );
}

function mayStart(state: EntryState, service: string): boolean {
  return hasRoom(state, service) && queuedQueries(state, service).length === 0;
}

/** Returns the queued queries of a service, the next one first. */
function queuedQueries({ queries, waitingIds }: EntryState, service: string): ReadonlyArray<Query> {
  return waitingIds.flatMap((queryId) => {
    const query = queries.get(queryId);
    return query?.request.service === service ? [query] : [];
  });
}

function rankOf({ request }: Pick<Query, "request">): number {
  return PRIORITY_RANKS[request.priority];
}

function hasRoom(state: EntryState, service: string): boolean {
  if (state.urgentInFlight > 0) {
    // While urgent queries are in flight, others are started one at a time.
    return startedCount(state) === state.urgentInFlight;
  }
  return (state.fetchesByService.get(service) ?? 0) < maxFetches(state, service);
}

/** This entry's share of the calls that keep the leafs' slots busy. */
function maxFetches(state: EntryState, service: string): number {
  const slots = state.control.catalog.services.get(service)?.slotCount ?? 0;
  const entries = countAlive(state.control.membership, "entry");
  return (slots * CALLS_PER_SLOT) / Math.max(1, entries);
}

function startedCount(state: EntryState): number {
  return state.queries.size - state.waitingIds.length;
}

function insert(state: EntryState, query: Query): ReadonlyArray<string> {
  const index = state.waitingIds.findIndex((queryId) => {
    const other = state.queries.get(queryId);
    return other !== undefined && isBefore(query, other);
  });
  return index < 0
    ? [...state.waitingIds, query.queryId]
    : state.waitingIds.toSpliced(index, 0, query.queryId);
}

function isBefore(query: Query, other: Query): boolean {
  return rankOf(query) === rankOf(other)
    ? query.deadlineAtMs < other.deadlineAtMs
    : rankOf(query) < rankOf(other);
}

/**
 * Predicts how long a query would wait to be started.
 *
 * @param state - The entry's state.
 * @param request - The query.
 * @returns Expected wait, in milliseconds.
 */
export function expectedStartMs(state: EntryState, request: QueryRequest): number {
  if (isUrgent({ request })) {
    return 0;
  }
  const rank = PRIORITY_RANKS[request.priority];
  const ahead = queuedQueries(state, request.service).filter((other) => rankOf(other) <= rank);
  return waitMs(state, request.service, ahead.length);
}

/** Assumes that the queue advances by as many queries per mean duration as can run in parallel. */
function waitMs(state: EntryState, service: string, ahead: number): number {
  const meanMs = state.meanQueryMs.get(service) ?? 0;
  const shardMap = state.control.catalog.shardMaps.get(service);
  const current = shardMap?.snapshots.find(({ snapshot }) => {
    return snapshot === shardMap.currentSnapshot;
  });
  const shardCount = current?.shards.length ?? 1;
  return (ahead * meanMs) / Math.max(1, maxFetches(state, service) / shardCount);
}

/**
 * Starts the next query whose service has room, and refuses those that would miss their deadline.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step; at most one query is started, so that other events are handled in between.
 */
export function startNext(state: EntryState, nowMs: number): EntryStep {
  return andThen(refuseLate(state, nowMs), (next) => {
    const queryId = next.waitingIds.find((each) => {
      const query = next.queries.get(each);
      return query !== undefined && hasRoom(next, query.request.service);
    });
    if (queryId === undefined) {
      return step(next);
    }
    const waitingIds = next.waitingIds.filter((each) => each !== queryId);
    return andThen(startQuery({ ...next, waitingIds }, queryId, nowMs), (started) =>
      waitingIds.length > 0
        ? step<EntryState, EntryEffect>(started, SCHEDULE_START)
        : step(started),
    );
  });
}

const SCHEDULE_START: EntryEffect = { kind: "setTimer", timer: { kind: "startNext" }, delayMs: 0 };

function refuseLate(state: EntryState, nowMs: number): EntryStep {
  const aheadByService = new Map<string, number>();
  const late = state.waitingIds.flatMap((queryId) => {
    const query = state.queries.get(queryId);
    if (query === undefined) {
      return [];
    }
    const { service } = query.request;
    const ahead = aheadByService.get(service) ?? 0;
    aheadByService.set(service, ahead + 1);
    return isLate(state, query, { ahead, nowMs }) ? [query] : [];
  });
  return forEachStep(step<EntryState, EntryEffect>(state), late, (next, query) => {
    const meanMs = state.meanQueryMs.get(query.request.service) ?? 0;
    const updated = { ...query, retryAfterMs: Math.ceil(meanMs) };
    return finishQuery(next, updated, { unsettledReason: "overloaded", nowMs });
  });
}

function isLate(
  state: EntryState,
  { request, deadlineAtMs }: Query,
  { ahead, nowMs }: { readonly ahead: number; readonly nowMs: number },
): boolean {
  const meanMs = state.meanQueryMs.get(request.service) ?? 0;
  return nowMs + waitMs(state, request.service, ahead) + meanMs > deadlineAtMs;
}

/**
 * Schedules a check of the queue if fetches have ended.
 *
 * @param before - State before the event.
 * @param state - State after it.
 * @returns The step.
 */
export function scheduleQueueCheck(before: EntryState, state: EntryState): EntryStep {
  const ended = state.fetches.size < before.fetches.size;
  return ended && state.waitingIds.length > 0
    ? step<EntryState, EntryEffect>(state, SCHEDULE_START)
    : step(state);
}
