/**
 * The entry's core: one reducer over all events, as an xstate logic.
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
import { takeResult } from "./call_results.js";
import { leafKey } from "./candidates.js";
import type { CallResult, EntryEffect, EntryEvent } from "./entry_messages.js";
import { type EntryState, type EntryStep, newEntryState } from "./entry_state.js";
import type { SettledFetch } from "./fetches.js";
import { dropQuery, finishQuery, leaveJoined } from "./finish_query.js";
import { hedgeFetch } from "./hedging.js";
import { forgetCallers } from "./judge_query.js";
import { takeReport, UNKNOWN_LEAF } from "./leaf_view.js";
import { settleAll } from "./queries.js";
import { borrowTokens, lendTokens, takeLoan } from "./service_limit.js";
import { startNext, wakeQueue } from "./start_queue.js";

type OwnEvent = Exclude<EntryEvent, Parameters<typeof stepControl>[1]>;

type Handlers = {
  readonly [K in OwnEvent["kind"]]: (
    state: EntryState,
    event: Extract<OwnEvent, { readonly kind: K }>,
  ) => EntryStep;
};

const HANDLERS: Handlers = {
  queryArrived: admitQuery,
  callerGone: (state, { queryId }) => dropQuery(state, queryId),
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
      ? leaveJoined(state, id, nowMs)
      : finishQuery(state, query, { unsettledReason: "deadline", nowMs });
  },
  hedge: (state, { id, nowMs }) => hedgeFetch(state, id, nowMs),
  startNext: (state, { nowMs }) => startNext(state, nowMs),
  poolOpened: (state, { poolId }) => step({ ...state, openPools: state.openPools.add(poolId) }),
  poolLost: losePool,
  resultsArrived: takeResults,
  borrowArrived: lendTokens,
  loanArrived: takeLoan,
};

/**
 * Runs one event through the entry's core.
 *
 * @param state - State so far.
 * @param event - What happened.
 * @returns State after that and what is to be done.
 */
export function stepEntry(state: EntryState, event: EntryEvent): EntryStep {
  const handled = isControlEvent(event)
    ? handleControl(state, event)
    : (HANDLERS[event.kind] as (state: EntryState, event: EntryEvent) => EntryStep)(state, event);
  return stopWhenDrained(andThen(handled, (next) => wakeQueue(state, next)));
}

function handleControl(state: EntryState, event: Parameters<typeof stepControl>[1]): EntryStep {
  const { state: control, effects } = stepControl(state.control, event);
  const made: EntryStep = { state: { ...state, control }, effects };
  const withPools = andThen(made, (next) => linkPools(state, next));
  return event.kind === "controlTick"
    ? andThen(withPools, (next) => borrowTokens(forgetCallers(next, event.nowMs), event.nowMs))
    : withPools;
}

/** Asks for links to the pools in use whenever membership has changed. */
function linkPools(before: EntryState, state: EntryState): EntryStep {
  if (before.control.membership.records === state.control.membership.records) {
    return step(state);
  }
  const pools = linkedPools(state);
  const known = linkedPools(before);
  const same =
    pools.length === known.length &&
    pools.every((pool, index) => pool.incarnation === known[index]?.incarnation);
  return same ? step(state) : step<EntryState, EntryEffect>(state, { kind: "openPools", pools });
}

/** A pool that leaves keeps its link, since calls to it may be in flight. */
function linkedPools(state: EntryState): ReadonlyArray<Member> {
  return [...state.control.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.role === "pool" && member.state !== "dead");
}

function losePool(
  state: EntryState,
  { poolId, nowMs }: Extract<EntryEvent, { readonly kind: "poolLost" }>,
): EntryStep {
  const lost: ReadonlyArray<CallResult> = [...state.fetches.values()].flatMap((fetch) =>
    fetch.attempts
      .filter((attempt) => attempt.pending && attempt.poolId === poolId)
      .map(({ callId }) => ({ kind: "failed", callId, reason: "pool lost" }) as const),
  );
  const without = { ...state, openPools: state.openPools.delete(poolId) };
  return takeEach(without, lost, nowMs);
}

function takeResults(
  state: EntryState,
  { poolId, results, reports, nowMs }: Extract<EntryEvent, { readonly kind: "resultsArrived" }>,
): EntryStep {
  const leafViews = state.leafViews.withMutations((views) => {
    for (const report of reports) {
      const key = leafKey(report.service, report.leafId);
      views.set(key, takeReport(views.get(key) ?? UNKNOWN_LEAF, report, nowMs));
    }
  });
  const poolHeardAtMs = state.poolHeardAtMs.set(poolId, nowMs);
  const silentPools = state.silentPools.delete(poolId);
  return takeEach({ ...state, leafViews, poolHeardAtMs, silentPools }, results, nowMs);
}

function takeEach(state: EntryState, results: ReadonlyArray<CallResult>, nowMs: number): EntryStep {
  const settled: Array<SettledFetch> = [];
  const taken = forEachStep(step<EntryState, EntryEffect>(state), results, (next, result) => {
    const made = takeResult(next, result, nowMs);
    if (made.settled !== undefined) {
      settled.push(made.settled);
    }
    return made;
  });
  return andThen(taken, (next) => settleAll(next, settled, nowMs));
}

function stopWhenDrained(made: EntryStep): EntryStep {
  const { control, queries } = made.state;
  if (lifecyclePhase(control.lifecycle) !== "finishing" || !queries.isEmpty()) {
    return made;
  }
  const lifecycle = transitionLifecycle(control.lifecycle, "drained");
  const stopped = { ...made.state, control: { ...control, lifecycle } };
  return { state: stopped, effects: [...made.effects, { kind: "stop" }] };
}

/**
 * Lists the entries that callers may use now: those alive, or this one where it knows of none.
 *
 * @param state - The entry's state.
 * @returns The entries.
 */
export function advisedEntries(state: EntryState): ReadonlyArray<Member> {
  const alive = aliveMembers(state.control.membership, "entry");
  return alive.length > 0 ? alive : [state.control.membership.self];
}

/**
 * Makes the core's xstate logic; its context is the last step, so that the shell finds the effects
 * of each event there.
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
