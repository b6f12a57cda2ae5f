/**
 * The entry's core: one reducer over all events, wrapped as xstate logic.
 *
 * @module
 */
import { fromTransition } from "xstate";
import { type ControlOptions, isControlEvent, stepControl } from "../control/mod.js";
import { andThen, type CoreEvent, forEachStep, step } from "../core/mod.js";
import { lifecyclePhase, transitionLifecycle } from "../lifecycle/mod.js";
import { aliveMembers } from "../membership/mod.js";
import type { Member } from "../model/mod.js";
import { issueTicket } from "../tickets/mod.js";
import { admitQuery } from "./admission.js";
import { removeIdleCallers } from "./admission_decision.js";
import { endPoolWait, sendAwaitingFetches } from "./awaiting_fetches.js";
import { applyResult } from "./call_results.js";
import { leafKey } from "./candidates.js";
import type { CallResult, EntryEffect, EntryEvent } from "./entry_messages.js";
import { type EntryState, type EntryStep, newEntryState } from "./entry_state.js";
import type { SettledFetch } from "./fetches.js";
import { abandonQuery, answerJoinedAtDeadline, finishQuery } from "./finish_query.js";
import { hedgeFetch } from "./hedging.js";
import { applyReport, UNKNOWN_LEAF } from "./leaf_view.js";
import { settleAll } from "./queries.js";
import { applyLoan, borrowTokens, lendTokens } from "./service_limit.js";
import { scheduleQueueCheck, startNext } from "./start_queue.js";

type OwnEvent = Exclude<EntryEvent, Parameters<typeof stepControl>[1]>;

type Handlers = {
  readonly [K in OwnEvent["kind"]]: (
    state: EntryState,
    event: Extract<OwnEvent, { readonly kind: K }>,
  ) => EntryStep;
};

const HANDLERS: Handlers = {
  queryArrived: admitQuery,
  callerGone: (state, { queryId }) => abandonQuery(state, queryId),
  ticketWanted: (state, { requestId, nowMs }) => {
    const { ticket, tickets } = issueTicket(state.tickets, { nowMs });
    return step<EntryState, EntryEffect>(
      { ...state, tickets },
      { kind: "giveTicket", requestId, ticket },
    );
  },
  queryDeadline: (state, { id, nowMs }) => {
    const query = state.queries.get(id);
    return query === undefined
      ? answerJoinedAtDeadline(state, id, nowMs)
      : finishQuery(state, query, { unsettledReason: "deadline", nowMs });
  },
  hedge: (state, { id, nowMs }) => hedgeFetch(state, id, nowMs),
  startNext: (state, { nowMs }) => startNext(state, nowMs),
  poolWait: (state, { id, nowMs }) => {
    const ended = endPoolWait(state, id, nowMs);
    const settled = ended.settled === undefined ? [] : [ended.settled];
    return andThen(ended, (next) => settleAll(next, settled, nowMs));
  },
  poolOpened: (state, { poolId, nowMs }) =>
    sendAwaitingFetches({ ...state, openPools: state.openPools.add(poolId) }, nowMs),
  poolLost: onPoolLost,
  resultsArrived: onResultsArrived,
  borrowArrived: lendTokens,
  loanArrived: applyLoan,
};

/**
 * Applies one event to the entry's state.
 *
 * @param state - The current state.
 * @param event - The event.
 * @returns The next state, and the effects to run.
 */
export function stepEntry(state: EntryState, event: EntryEvent): EntryStep {
  const handled = isControlEvent(event)
    ? handleControl(state, event)
    : (HANDLERS[event.kind] as (state: EntryState, event: EntryEvent) => EntryStep)(state, event);
  const queued = andThen(handled, (next) => scheduleQueueCheck(state, next));
  return stopWhenDrained(andThen(queued, (next) => closeListener(state, next)));
}

function closeListener(before: EntryState, state: EntryState): EntryStep {
  const hasExpired =
    lifecyclePhase(before.control.lifecycle) === "leaving" &&
    lifecyclePhase(state.control.lifecycle) === "finishing";
  return hasExpired ? step<EntryState, EntryEffect>(state, { kind: "closeListener" }) : step(state);
}

function handleControl(state: EntryState, event: Parameters<typeof stepControl>[1]): EntryStep {
  const { state: control, effects } = stepControl(state.control, event);
  const applied: EntryStep = { state: { ...state, control }, effects };
  const withPools = andThen(applied, (next) => linkPools(state, next));
  return event.kind === "controlTick"
    ? andThen(withPools, (next) => borrowTokens(removeIdleCallers(next, event.nowMs), event.nowMs))
    : withPools;
}

/** Requests links to the pools if the set of pools has changed. */
function linkPools(before: EntryState, state: EntryState): EntryStep {
  if (before.control.membership.records === state.control.membership.records) {
    return step(state);
  }
  const pools = linkedPools(state);
  const previous = linkedPools(before);
  const isUnchanged =
    pools.length === previous.length &&
    pools.every((pool, index) => pool.incarnation === previous[index]?.incarnation);
  return isUnchanged
    ? step(state)
    : step<EntryState, EntryEffect>(state, { kind: "openPools", pools });
}

/** Includes leaving pools, since calls to them may be in flight. */
function linkedPools(state: EntryState): ReadonlyArray<Member> {
  return [...state.control.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.role === "pool" && member.state !== "dead");
}

function onPoolLost(
  state: EntryState,
  { poolId, nowMs }: Extract<EntryEvent, { readonly kind: "poolLost" }>,
): EntryStep {
  const failures: ReadonlyArray<CallResult> = [...state.fetches.values()].flatMap((fetch) =>
    fetch.attempts
      .filter((attempt) => attempt.pending && attempt.poolId === poolId)
      .map(({ callId }) => ({ kind: "failed", callId, reason: "pool lost" }) as const),
  );
  const withoutPool = { ...state, openPools: state.openPools.delete(poolId) };
  return applyResults(withoutPool, failures, nowMs);
}

function onResultsArrived(
  state: EntryState,
  { poolId, results, reports, nowMs }: Extract<EntryEvent, { readonly kind: "resultsArrived" }>,
): EntryStep {
  const leafViews = state.leafViews.withMutations((views) => {
    for (const report of reports) {
      const key = leafKey(report.service, report.leafId);
      views.set(key, applyReport(views.get(key) ?? UNKNOWN_LEAF, report, nowMs));
    }
  });
  const poolLastContactAtMs = state.poolLastContactAtMs.set(poolId, nowMs);
  const unresponsivePools = state.unresponsivePools.delete(poolId);
  return applyResults(
    { ...state, leafViews, poolLastContactAtMs, unresponsivePools },
    results,
    nowMs,
  );
}

function applyResults(
  state: EntryState,
  results: ReadonlyArray<CallResult>,
  nowMs: number,
): EntryStep {
  const settled: Array<SettledFetch> = [];
  const combined = forEachStep(step<EntryState, EntryEffect>(state), results, (next, result) => {
    const applied = applyResult(next, result, nowMs);
    if (applied.settled !== undefined) {
      settled.push(applied.settled);
    }
    return applied;
  });
  return andThen(combined, (next) => settleAll(next, settled, nowMs));
}

function stopWhenDrained(last: EntryStep): EntryStep {
  const { control, queries } = last.state;
  if (lifecyclePhase(control.lifecycle) !== "finishing" || !queries.isEmpty()) {
    return last;
  }
  const lifecycle = transitionLifecycle(control.lifecycle, "drained");
  const stopped = { ...last.state, control: { ...control, lifecycle } };
  return { state: stopped, effects: [...last.effects, { kind: "stop" }] };
}

/**
 * Lists the entries that callers may use: all alive ones, or this one if none is known.
 *
 * @param state - The entry's state.
 * @returns The entries.
 */
export function listedEntries(state: EntryState): ReadonlyArray<Member> {
  const alive = aliveMembers(state.control.membership, "entry");
  return alive.length > 0 ? alive : [state.control.membership.self];
}

/**
 * Creates the core's xstate logic. Its context is the last step, from which the shell reads the
 * effects of each event.
 *
 * @param options - Settings of the control slice.
 * @returns The logic.
 */
export function entryLogic(options: ControlOptions) {
  return fromTransition(
    (last: EntryStep, { event }: CoreEvent<EntryEvent>) => stepEntry(last.state, event),
    step<EntryState, EntryEffect>(newEntryState(options)),
  );
}
