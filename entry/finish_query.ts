/**
 * The end of a query: its answer, the checks on it, and what is let go.
 *
 * @module
 */
import {
  andThen,
  countOne,
  forEachStep,
  invariantBroken,
  logInfo,
  step,
  type TelemetryEffect,
} from "../core/mod.js";
import { updateClampedMean } from "../latency/mod.js";
import type { QueryAnswer } from "../model/mod.js";
import {
  coverageRatio,
  type GroupSummary,
  type SnapshotGroup,
  type SummariseOptions,
  summariseGroup,
} from "../query/mod.js";
import { recordFinished } from "../tickets/mod.js";
import { summaryAnswer, unknownOutcome } from "./answers.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import { removeFetch } from "./fetches.js";

/** Most that one query's time counts for in the mean, as a multiple of it. */
const OUTLIER_FACTOR = 2;

/**
 * Tells whether a query goes before all that are not urgent.
 *
 * @param query - The query.
 * @returns Whether its priority is the highest.
 */
export function isUrgent({ request }: Pick<Query, "request">): boolean {
  return request.priority === "urgent";
}

interface FinishOptions {
  readonly unsettledReason: SummariseOptions["unsettledReason"];
  readonly nowMs: number;
}

/**
 * Answers a query with what it has: the snapshot with the largest coverage, and that one alone.
 *
 * @param state - The entry's state.
 * @param query - The query.
 * @param options - Why shards that are not settled are lacking, and the present moment.
 * @returns The step.
 */
export function finishQuery(
  state: EntryState,
  query: Query,
  { unsettledReason, nowMs }: FinishOptions,
): EntryStep {
  const group = bestGroup(query);
  const summary = summariseGroup(group, {
    merge: query.request.merge,
    unsettledReason,
    unsettledNotRun: (shard) => isNotRun(state, query.fetchIds.get(shard)),
  });
  const earlierRan = query.earlierGroup !== undefined;
  const truthful = earlierRan && summary.notRun ? unknownSummary(summary) : summary;
  const answer = summaryAnswer(state, truthful, {
    snapshot: group.snapshot,
    revision: query.revision,
    retryAfterMs: query.retryAfterMs,
    nowMs,
  });
  const released = releaseQuery(state, query);
  const checks = [...checkCoverage(query, group, answer), ...checkNotRun(query, answer)];
  const answers = [query.queryId, ...query.joinedQueryIds].map((queryId) => {
    return { kind: "answer", queryId, answer } as const;
  });
  return andThen(released, (next) =>
    step<EntryState, EntryEffect>(
      noteTime(rememberAnswer(next, query, answer), query, nowMs),
      ...checks,
      ...answers,
      answerLog(query, answer, nowMs),
      countOne("queries.answered", { service: query.request.service, outcome: answer.outcome }),
      {
        kind: "timing",
        metric: "queries.duration_ms",
        valueMs: nowMs - query.arrivedAtMs,
        tags: { service: query.request.service },
      },
    ),
  );
}

function bestGroup(query: Query): SnapshotGroup {
  const { group, earlierGroup } = query;
  return earlierGroup !== undefined && coverageRatio(earlierGroup) > coverageRatio(group)
    ? earlierGroup
    : group;
}

/** A query whose earlier snapshot was asked has run, whatever became of the later one. */
function unknownSummary(summary: GroupSummary): GroupSummary {
  return { ...summary, outcome: "unknown", notRun: false };
}

function isNotRun(state: EntryState, fetchId: string | undefined): boolean {
  const fetch = state.fetches.get(fetchId ?? "");
  return fetch?.attempts.every((attempt) => attempt.notRun) ?? true;
}

function checkCoverage(
  query: Query,
  group: SnapshotGroup,
  { coverage, snapshot }: QueryAnswer,
): ReadonlyArray<TelemetryEffect> {
  const named = new Set([...coverage.included, ...coverage.lacking.map((each) => each.shard)]);
  const exact =
    named.size === group.shards.length &&
    coverage.included.length + coverage.lacking.length === group.shards.length &&
    snapshot === group.snapshot;
  return exact ? [] : invariantBroken("coverage", { queryId: query.queryId });
}

function checkNotRun(
  { queryId, mayHaveRun }: Query,
  { notRun }: QueryAnswer,
): ReadonlyArray<TelemetryEffect> {
  return notRun && mayHaveRun ? invariantBroken("not run", { queryId }) : [];
}

/** Learns how long queries take, for those that wait. */
function noteTime(state: EntryState, { request, startedAtMs }: Query, nowMs: number): EntryState {
  const { service } = request;
  const meanMs = updateClampedMean(state.queryTimes.get(service) ?? 0, nowMs - startedAtMs, {
    outlierFactor: OUTLIER_FACTOR,
  });
  return startedAtMs === 0
    ? state
    : { ...state, queryTimes: state.queryTimes.set(service, meanMs) };
}

function rememberAnswer(state: EntryState, query: Query, answer: QueryAnswer): EntryState {
  return query.ticketPlace === undefined
    ? state
    : { ...state, tickets: recordFinished(state.tickets, query.ticketPlace, answer) };
}

function answerLog(query: Query, answer: QueryAnswer, nowMs: number): TelemetryEffect {
  return logInfo("query", `answered ${query.queryId} as ${answer.outcome}`, {
    service: query.request.service,
    caller: query.request.caller,
    snapshot: answer.snapshot,
    included: answer.coverage.included.length,
    lacking: answer.coverage.lacking.map((each) => `${each.shard}: ${each.reason}`),
    tookMs: nowMs - query.arrivedAtMs,
  });
}

/** Takes a query off and lets go of its fetches; one that nobody waits for is cancelled. */
function releaseQuery(state: EntryState, query: Query): EntryStep {
  const { service } = query.request;
  const inFlight = (state.inFlightByService.get(service) ?? 1) - 1;
  const isNamed = state.queryByHash.get(query.joinHash) === query.queryId;
  const wasWaiting = query.startedAtMs === 0;
  const removed: EntryState = {
    ...state,
    waitingIds: wasWaiting
      ? state.waitingIds.filter((queryId) => queryId !== query.queryId)
      : state.waitingIds,
    queries: state.queries.delete(query.queryId),
    queryByHash: isNamed ? state.queryByHash.delete(query.joinHash) : state.queryByHash,
    inFlightByService: state.inFlightByService.set(service, inFlight),
    urgentInFlight: state.urgentInFlight - (isUrgent(query) ? 1 : 0),
  };
  const clear = {
    kind: "clearTimer",
    timer: { kind: "queryDeadline", id: query.queryId },
  } as const;
  return forEachStep(
    step<EntryState, EntryEffect>(removed, clear),
    query.fetchIds.values(),
    (next, fetchId) => leaveFetch(next, query.queryId, fetchId),
  );
}

function leaveFetch(state: EntryState, queryId: string, fetchId: string): EntryStep {
  const fetch = state.fetches.get(fetchId);
  if (fetch === undefined) {
    return step(state);
  }
  const waiters = fetch.waiters.filter((waiter) => waiter !== queryId);
  return waiters.length === 0
    ? removeFetch(state, fetch)
    : step({ ...state, fetches: state.fetches.set(fetchId, { ...fetch, waiters }) });
}

/**
 * Answers a repeat whose own deadline has come while the first one still runs.
 *
 * @param state - The entry's state.
 * @param queryId - The repeat.
 * @param nowMs - The present moment.
 * @returns The step; nothing where the repeat has its answer already.
 */
export function leaveJoined(state: EntryState, queryId: string, nowMs: number): EntryStep {
  const running = state.queries.find((query) => query.joinedQueryIds.includes(queryId));
  if (running === undefined) {
    return step(state);
  }
  const joinedQueryIds = running.joinedQueryIds.filter((each) => each !== queryId);
  const left = { ...running, joinedQueryIds };
  const message = "Cannot tell whether the query ran: it is still running";
  return step<EntryState, EntryEffect>(
    { ...state, queries: state.queries.set(running.queryId, left) },
    { kind: "answer", queryId, answer: unknownOutcome(state, nowMs, message) },
  );
}

/**
 * Drops a query whose caller has gone. One that is not repeatable goes on, so that its outcome is
 * there when the caller asks again.
 *
 * @param state - The entry's state.
 * @param queryId - The query.
 * @returns The step.
 */
export function dropQuery(state: EntryState, queryId: string): EntryStep {
  const query = state.queries.get(queryId);
  // Others may wait for the same answer; the one for the caller that has gone is dropped then.
  if (query === undefined || query.ticketPlace !== undefined || query.joinedQueryIds.length > 0) {
    return step(state);
  }
  return andThen(releaseQuery(state, query), (next) =>
    step<EntryState, EntryEffect>(
      next,
      countOne("queries.abandoned", { service: query.request.service }),
    ),
  );
}
