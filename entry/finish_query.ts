/**
 * Completion of a query: its answer, invariant checks and the release of its fetches.
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
import { summaryAnswer, unknownAnswer } from "./answers.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import { removeFetch } from "./fetches.js";

/** Upper bound of one query's duration in the mean, as a multiple of the mean. */
const OUTLIER_FACTOR = 2;

/**
 * Returns whether a query has the highest priority.
 *
 * @param query - The query.
 * @returns Whether its priority is `urgent`.
 */
export function isUrgent({ request }: Pick<Query, "request">): boolean {
  return request.priority === "urgent";
}

interface FinishOptions {
  readonly unsettledReason: SummariseOptions["unsettledReason"];
  readonly nowMs: number;
}

/**
 * Answers a query with the rows received so far, all from the snapshot with the largest coverage.
 *
 * @param state - The entry's state.
 * @param query - The query.
 * @param options - Reason to report for unsettled shards, and the current time.
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
  const corrected = earlierRan && summary.notRun ? asUnknown(summary) : summary;
  const answer = summaryAnswer(state, corrected, {
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
      recordDuration(recordTicketAnswer(next, query, answer), query, nowMs),
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

/** A query that called leafs at an earlier snapshot may have run, whatever the later result. */
function asUnknown(summary: GroupSummary): GroupSummary {
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
  const reported = new Set([...coverage.included, ...coverage.lacking.map((each) => each.shard)]);
  const isExact =
    reported.size === group.shards.length &&
    coverage.included.length + coverage.lacking.length === group.shards.length &&
    snapshot === group.snapshot;
  return isExact ? [] : invariantBroken("coverage", { queryId: query.queryId });
}

function checkNotRun(
  { queryId, mayHaveRun }: Query,
  { notRun }: QueryAnswer,
): ReadonlyArray<TelemetryEffect> {
  return notRun && mayHaveRun ? invariantBroken("not run", { queryId }) : [];
}

/** Updates the mean query duration, which predicts the wait of queued queries. */
function recordDuration(
  state: EntryState,
  { request, startedAtMs }: Query,
  nowMs: number,
): EntryState {
  const { service } = request;
  const meanMs = updateClampedMean(state.meanQueryMs.get(service) ?? 0, nowMs - startedAtMs, {
    outlierFactor: OUTLIER_FACTOR,
  });
  return startedAtMs === 0
    ? state
    : { ...state, meanQueryMs: state.meanQueryMs.set(service, meanMs) };
}

function recordTicketAnswer(state: EntryState, query: Query, answer: QueryAnswer): EntryState {
  return query.ticketPosition === undefined
    ? state
    : { ...state, tickets: recordFinished(state.tickets, query.ticketPosition, answer) };
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

/** Removes a query and releases its fetches; fetches without other waiters are cancelled. */
function releaseQuery(state: EntryState, query: Query): EntryStep {
  const { service } = query.request;
  const inFlight = (state.inFlightByService.get(service) ?? 1) - 1;
  const isIndexed = state.queryByHash.get(query.joinHash) === query.queryId;
  const wasQueued = query.startedAtMs === 0;
  const removed: EntryState = {
    ...state,
    waitingIds: wasQueued
      ? state.waitingIds.filter((queryId) => queryId !== query.queryId)
      : state.waitingIds,
    queries: state.queries.delete(query.queryId),
    queryByHash: isIndexed ? state.queryByHash.delete(query.joinHash) : state.queryByHash,
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
 * Answers a joined query at its own deadline, while the query that it joined is still running.
 *
 * @param state - The entry's state.
 * @param queryId - The joined query.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step; it has no effects if the joined query has been answered.
 */
export function answerJoinedAtDeadline(
  state: EntryState,
  queryId: string,
  nowMs: number,
): EntryStep {
  const running = state.queries.find((query) => query.joinedQueryIds.includes(queryId));
  if (running === undefined) {
    return step(state);
  }
  const joinedQueryIds = running.joinedQueryIds.filter((each) => each !== queryId);
  const remaining = { ...running, joinedQueryIds };
  const message = "Cannot tell whether the query ran: it is still running";
  return step<EntryState, EntryEffect>(
    { ...state, queries: state.queries.set(running.queryId, remaining) },
    { kind: "answer", queryId, answer: unknownAnswer(state, nowMs, message) },
  );
}

/**
 * Abandons a query whose caller has disconnected. A query with a ticket continues, so that its
 * outcome is available when the caller repeats it.
 *
 * @param state - The entry's state.
 * @param queryId - The query.
 * @returns The step.
 */
export function abandonQuery(state: EntryState, queryId: string): EntryStep {
  const query = state.queries.get(queryId);
  // Joined queries wait for the same answer; the answer to the disconnected caller is dropped then.
  if (
    query === undefined ||
    query.ticketPosition !== undefined ||
    query.joinedQueryIds.length > 0
  ) {
    return step(state);
  }
  return andThen(releaseQuery(state, query), (next) =>
    step<EntryState, EntryEffect>(
      next,
      countOne("queries.abandoned", { service: query.request.service }),
    ),
  );
}
