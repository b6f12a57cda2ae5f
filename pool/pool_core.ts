/**
 * Core of the pool: a single reducer over all events, wrapped as xstate logic.
 *
 * Each leaf has one queue, ordered by priority and deadline, and never more calls in flight than
 * slots. A call that would miss its deadline is refused immediately, without being run.
 *
 * @module
 */
import { fromTransition } from "xstate";
import { type ControlOptions, isControlEvent, stepControl } from "../control/mod.js";
import { andThen, type CoreEvent, countOne, forEachStep, logInfo, step } from "../core/mod.js";
import { lifecyclePhase, transitionLifecycle } from "../lifecycle/mod.js";
import { admitCall } from "./call_admission.js";
import { dispatchNext } from "./flight_queue.js";
import { cancelCall, endFlight, putLeaf } from "./flights.js";
import {
  applyCatalog,
  onLeafProbed,
  probeLeafs,
  resendReports,
  updateLeaf,
} from "./leaf_changes.js";
import { applySignal, recordAnswer, recordFailure, reportLeaf } from "./leaf_condition.js";
import type { LeafOutcome, PoolEffect, PoolEvent } from "./pool_messages.js";
import {
  type Flight,
  type LeafState,
  newPoolState,
  type PoolState,
  type PoolStep,
} from "./pool_state.js";

type OwnEvent = Exclude<PoolEvent, Parameters<typeof stepControl>[1]>;

type Handlers = {
  readonly [K in OwnEvent["kind"]]: (
    state: PoolState,
    event: Extract<OwnEvent, { readonly kind: K }>,
  ) => PoolStep;
};

const HANDLERS: Handlers = {
  callsArrived: onCallsArrived,
  entryOpened: onEntryOpened,
  entryLost: onEntryDisconnected,
  leafAnswered: onLeafAnswered,
  leafProbed: onLeafProbed,
};

/**
 * Applies one event to the state of the pool.
 *
 * @param state - State of the pool.
 * @param event - The event.
 * @returns The new state and the effects to run.
 */
export function stepPool(state: PoolState, event: PoolEvent): PoolStep {
  const handled = isControlEvent(event)
    ? handleControl(state, event)
    : (HANDLERS[event.kind] as (state: PoolState, event: PoolEvent) => PoolStep)(state, event);
  return stopWhenDrained(handled);
}

function handleControl(state: PoolState, event: Parameters<typeof stepControl>[1]): PoolStep {
  const { state: control, effects } = stepControl(state.control, event);
  const controlled: PoolStep = { state: { ...state, control }, effects };
  const catalogChanged = control.catalog !== state.control.catalog;
  const updated = catalogChanged
    ? andThen(controlled, (next) => applyCatalog(next, event.nowMs))
    : controlled;
  return event.kind === "controlTick"
    ? andThen(andThen(updated, probeLeafs), resendReports)
    : updated;
}

function onCallsArrived(
  state: PoolState,
  event: Extract<PoolEvent, { readonly kind: "callsArrived" }>,
): PoolStep {
  const { entryId, nowMs } = event;
  const cancelled = forEachStep(
    step<PoolState, PoolEffect>(state),
    event.cancelledCallIds,
    (next, callId) => cancelCall(next, { entryId, callId }),
  );
  return forEachStep(cancelled, event.calls, (next, call) =>
    admitCall(next, call, { entryId, nowMs }),
  );
}

function onEntryOpened(
  state: PoolState,
  { entryId }: Extract<PoolEvent, { readonly kind: "entryOpened" }>,
): PoolStep {
  const opened = { ...state, entries: state.entries.add(entryId) };
  const reports = [...state.leafs.values()]
    .filter((leaf) => leaf.condition !== "ready")
    .map(reportLeaf);
  return reports.length === 0
    ? step(opened)
    : step<PoolState, PoolEffect>(opened, { kind: "reply", entryId, results: [], reports });
}

function onEntryDisconnected(
  state: PoolState,
  { entryId }: Extract<PoolEvent, { readonly kind: "entryLost" }>,
): PoolStep {
  const withoutEntry = { ...state, entries: state.entries.delete(entryId) };
  const calls = [...state.flights.values()].flatMap((flight) =>
    flight.waiters.filter((waiter) => waiter.entryId === entryId),
  );
  return forEachStep(step<PoolState, PoolEffect>(withoutEntry), calls, cancelCall);
}

function onLeafAnswered(
  state: PoolState,
  event: Extract<PoolEvent, { readonly kind: "leafAnswered" }>,
): PoolStep {
  const { flightId, outcome, signal, stalledMs, nowMs } = event;
  const flight = state.flights.get(flightId);
  const leaf = state.leafs.get(flight?.leafKey ?? "");
  if (flight === undefined || leaf === undefined) {
    return step<PoolState, PoolEffect>(state, countOne("pool.late_answers"));
  }
  const freed = { ...leaf, inFlight: leaf.inFlight - 1 };
  const recorded = OUTCOME_HANDLERS[outcome.kind](freed, { flight, stalledMs, nowMs });
  const signalled = signal === undefined ? recorded : applySignal(recorded, signal, nowMs);
  const changed = updateLeaf(putLeaf(state, freed), leaf, signalled);
  return andThen(
    andThen(changed, (next) => endFlight(next, flight, outcome)),
    (next) => dispatchNext(next, leaf.leafKey, nowMs),
  );
}

interface OutcomeContext {
  readonly flight: Flight;
  readonly stalledMs: number;
  readonly nowMs: number;
}

const OUTCOME_HANDLERS: Readonly<
  Record<LeafOutcome["kind"], (leaf: LeafState, context: OutcomeContext) => LeafState>
> = {
  answered: (leaf, { flight, stalledMs, nowMs }) =>
    recordAnswer(leaf, { tookMs: nowMs - flight.sentAtMs - stalledMs, nowMs }),
  refused: (leaf) => ({ ...leaf, failures: 0 }),
  failed: (leaf, { flight, nowMs }) =>
    // A call cancelled by its last waiter does not count as a failure of the leaf.
    flight.waiters.length === 0 ? leaf : recordFailure(leaf, nowMs),
};

/** Stops a leaving pool once no calls are queued or in flight. */
function stopWhenDrained(current: PoolStep): PoolStep {
  const { control, flights } = current.state;
  if (lifecyclePhase(control.lifecycle) !== "finishing" || !flights.isEmpty()) {
    return current;
  }
  const lifecycle = transitionLifecycle(control.lifecycle, "drained");
  const stopped = { ...current.state, control: { ...control, lifecycle } };
  const log = logInfo("lifecycle", "is stopped");
  return { state: stopped, effects: [...current.effects, log, { kind: "stop" }] };
}

/**
 * Creates the xstate logic of the core. Its context is the result of the last step.
 *
 * @param options - Settings of the control slice.
 * @returns The xstate logic.
 */
export function poolLogic(options: ControlOptions) {
  return fromTransition(
    (last: PoolStep, { event }: CoreEvent<PoolEvent>) => stepPool(last.state, event),
    step<PoolState, PoolEffect>(newPoolState(options)),
  );
}
