/**
 * Flights: calls to leafs that identical calls of several entries may share.
 *
 * @module
 */
import { countOne, step } from "../core/mod.js";
import type { CallResult } from "../entry/entry_messages.js";
import { reportLeaf } from "./leaf_condition.js";
import type { LeafOutcome, PoolEffect } from "./pool_messages.js";
import type { Flight, LeafState, PoolState, PoolStep, Waiter } from "./pool_state.js";

/**
 * Stores the state of a leaf.
 *
 * @param state - State of the pool.
 * @param leaf - State of the leaf.
 * @returns The new state of the pool.
 */
export function putLeaf(state: PoolState, leaf: LeafState): PoolState {
  return { ...state, leafs: state.leafs.set(leaf.leafKey, leaf) };
}

interface JoinOptions {
  readonly waiter: Waiter;
  readonly deadlineAtMs: number;
}

/**
 * Adds a call to the waiters of a flight.
 *
 * @param state - State of the pool.
 * @param flight - The flight to join.
 * @param options - The call and its deadline.
 * @returns The new state and the effects.
 */
export function joinFlight(
  state: PoolState,
  flight: Flight,
  { waiter, deadlineAtMs }: JoinOptions,
): PoolStep {
  const joined: Flight = {
    ...flight,
    waiters: [...flight.waiters, waiter],
    deadlineAtMs: Math.max(flight.deadlineAtMs, deadlineAtMs),
  };
  return step<PoolState, PoolEffect>(
    {
      ...state,
      flights: state.flights.set(flight.flightId, joined),
      flightByCall: state.flightByCall.set(callKey(waiter), flight.flightId),
    },
    countOne("pool.shared_calls"),
  );
}

/**
 * Returns the key of a call, unique across entries.
 *
 * @param waiter - The call.
 * @returns The key.
 */
export function callKey({ entryId, callId }: Waiter): string {
  return `${entryId} ${callId}`;
}

/**
 * Removes a flight and sends its outcome to all waiters.
 *
 * @param state - State of the pool.
 * @param flight - The flight.
 * @param outcome - Outcome of the call.
 * @returns The new state and the effects.
 */
export function endFlight(state: PoolState, flight: Flight, outcome: LeafOutcome): PoolStep {
  const isKeyed = state.flightByHash.get(flight.shareHash) === flight.flightId;
  const next: PoolState = {
    ...state,
    flights: state.flights.delete(flight.flightId),
    flightByHash: isKeyed ? state.flightByHash.delete(flight.shareHash) : state.flightByHash,
    flightByCall: state.flightByCall.deleteAll(flight.waiters.map(callKey)),
  };
  const leaf = next.leafs.get(flight.leafKey);
  const reports = leaf === undefined ? [] : [reportLeaf(leaf)];
  const replies = flight.waiters.map(({ entryId, callId }) => {
    return { kind: "reply", entryId, results: [resultOf(outcome, callId)], reports } as const;
  });
  return step<PoolState, PoolEffect>(next, ...replies);
}

function resultOf(outcome: LeafOutcome, callId: string): CallResult {
  if (outcome.kind !== "failed") {
    return { ...outcome, callId };
  }
  return outcome.notSent
    ? { kind: "refused", callId, reason: outcome.reason, retryAfterMs: 0 }
    : { kind: "failed", callId, reason: outcome.reason };
}

/**
 * Cancels a call. A flight without other waiters is removed from the queue or, if it has been sent,
 * cancelled at the leaf.
 *
 * @param state - State of the pool.
 * @param waiter - The call.
 * @returns The new state and the effects.
 */
export function cancelCall(state: PoolState, waiter: Waiter): PoolStep {
  const flightId = state.flightByCall.get(callKey(waiter));
  const flight = state.flights.get(flightId ?? "");
  if (flight === undefined) {
    return step(state);
  }
  const waiters = flight.waiters.filter((each) => callKey(each) !== callKey(waiter));
  const withoutCall = { ...state, flightByCall: state.flightByCall.delete(callKey(waiter)) };
  if (waiters.length > 0) {
    return step({
      ...withoutCall,
      flights: withoutCall.flights.set(flight.flightId, { ...flight, waiters }),
    });
  }
  return flight.sentAtMs === 0 ? dropQueued(withoutCall, flight) : cancelSent(withoutCall, flight);
}

function dropQueued(state: PoolState, flight: Flight): PoolStep {
  const leaf = state.leafs.get(flight.leafKey);
  const dropped = endFlight(
    state,
    { ...flight, waiters: [] },
    {
      kind: "refused",
      reason: "caller gone",
      retryAfterMs: 0,
    },
  );
  if (leaf === undefined) {
    return dropped;
  }
  const queue = leaf.queue.filter((flightId) => flightId !== flight.flightId);
  return { ...dropped, state: putLeaf(dropped.state, { ...leaf, queue }) };
}

/** Cancels the call at the leaf. The slot stays occupied until the leaf answers. */
function cancelSent(state: PoolState, flight: Flight): PoolStep {
  const isKeyed = state.flightByHash.get(flight.shareHash) === flight.flightId;
  const next: PoolState = {
    ...state,
    flights: state.flights.set(flight.flightId, { ...flight, waiters: [] }),
    flightByHash: isKeyed ? state.flightByHash.delete(flight.shareHash) : state.flightByHash,
  };
  const leaf = next.leafs.get(flight.leafKey)?.leaf;
  return leaf === undefined
    ? step(next)
    : step<PoolState, PoolEffect>(
        next,
        { kind: "cancelDispatch", flightId: flight.flightId, leaf },
        countOne("pool.cancelled"),
      );
}
