/**
 * The pool's core: one reducer over all events, as an xstate logic.
 *
 * Each leaf has one queue, ordered by priority and deadline, and never more calls in flight than
 * slots. A call that would miss its deadline is refused at once as not run.
 *
 * @module
 */
import { fromTransition } from "xstate";
import { type ControlOptions, isControlEvent, stepControl } from "../control/mod.js";
import { andThen, type CoreEvent, countOne, forEachStep, logInfo, step } from "../core/mod.js";
import { lifecyclePhase, transitionLifecycle } from "../lifecycle/mod.js";
import { dispatchNext } from "./flight_queue.js";
import { cancelCall, endFlight, putLeaf } from "./flights.js";
import {
  changeLeaf,
  followCatalog,
  onLeafProbed,
  probeOwned,
  repeatReports,
} from "./leaf_changes.js";
import { noteAnswer, noteFailure, reportLeaf, takeSignal } from "./leaf_condition.js";
import type { LeafOutcome, PoolEffect, PoolEvent } from "./pool_messages.js";
import {
  type Flight,
  type LeafState,
  newPoolState,
  type PoolState,
  type PoolStep,
} from "./pool_state.js";
import { takeCall } from "./take_call.js";

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
  entryLost: onEntryLost,
  leafAnswered: onLeafAnswered,
  leafProbed: onLeafProbed,
};

/**
 * Runs one event through the pool's core.
 *
 * @param state - State so far.
 * @param event - What happened.
 * @returns State after that and what is to be done.
 */
export function stepPool(state: PoolState, event: PoolEvent): PoolStep {
  const handled = isControlEvent(event)
    ? handleControl(state, event)
    : (HANDLERS[event.kind] as (state: PoolState, event: PoolEvent) => PoolStep)(state, event);
  return stopWhenDrained(handled);
}

function handleControl(state: PoolState, event: Parameters<typeof stepControl>[1]): PoolStep {
  const { state: control, effects } = stepControl(state.control, event);
  const made: PoolStep = { state: { ...state, control }, effects };
  const catalogChanged = control.catalog !== state.control.catalog;
  const updated = catalogChanged ? andThen(made, (next) => followCatalog(next, event.nowMs)) : made;
  return event.kind === "controlTick"
    ? andThen(andThen(updated, probeOwned), repeatReports)
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
    takeCall(next, call, { entryId, nowMs }),
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

function onEntryLost(
  state: PoolState,
  { entryId }: Extract<PoolEvent, { readonly kind: "entryLost" }>,
): PoolStep {
  const lost = { ...state, entries: state.entries.delete(entryId) };
  const calls = [...state.flights.values()].flatMap((flight) =>
    flight.waiters.filter((waiter) => waiter.entryId === entryId),
  );
  return forEachStep(step<PoolState, PoolEffect>(lost), calls, cancelCall);
}

function onLeafAnswered(
  state: PoolState,
  event: Extract<PoolEvent, { readonly kind: "leafAnswered" }>,
): PoolStep {
  const { flightId, outcome, signal, nowMs } = event;
  const flight = state.flights.get(flightId);
  const leaf = state.leafs.get(flight?.leafKey ?? "");
  if (flight === undefined || leaf === undefined) {
    return step<PoolState, PoolEffect>(state, countOne("pool.late_answers"));
  }
  const freed = { ...leaf, inFlight: leaf.inFlight - 1 };
  const noted = OUTCOME_NOTES[outcome.kind](freed, { flight, nowMs });
  const signalled = signal === undefined ? noted : takeSignal(noted, signal, nowMs);
  const changed = changeLeaf(putLeaf(state, freed), leaf, signalled);
  return andThen(
    andThen(changed, (next) => endFlight(next, flight, outcome)),
    (next) => dispatchNext(next, leaf.leafKey, nowMs),
  );
}

interface NoteContext {
  readonly flight: Flight;
  readonly nowMs: number;
}

const OUTCOME_NOTES: Readonly<
  Record<LeafOutcome["kind"], (leaf: LeafState, context: NoteContext) => LeafState>
> = {
  answered: (leaf, { flight, nowMs }) => noteAnswer(leaf, nowMs - flight.sentAtMs),
  refused: (leaf) => ({ ...leaf, failures: 0 }),
  failed: (leaf, { flight, nowMs }) =>
    // A call cancelled for lack of waiters says nothing against the leaf.
    flight.waiters.length === 0 ? leaf : noteFailure(leaf, nowMs),
};

/** A pool that leaves hands its leafs over and ends once nothing is queued or in flight. */
function stopWhenDrained(made: PoolStep): PoolStep {
  const { control, flights } = made.state;
  if (lifecyclePhase(control.lifecycle) !== "finishing" || !flights.isEmpty()) {
    return made;
  }
  const lifecycle = transitionLifecycle(control.lifecycle, "drained");
  const stopped = { ...made.state, control: { ...control, lifecycle } };
  const log = logInfo("lifecycle", "is stopped");
  return { state: stopped, effects: [...made.effects, log, { kind: "stop" }] };
}

/**
 * Makes the core's xstate logic; its context is the last step.
 *
 * @param options - Settings of the control slice.
 * @returns The logic.
 */
export function poolLogic(options: ControlOptions) {
  return fromTransition(
    (last: PoolStep, { event }: CoreEvent<PoolEvent>) => stepPool(last.state, event),
    step<PoolState, PoolEffect>(newPoolState(options)),
  );
}
