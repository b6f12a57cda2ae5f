/**
 * Queue of calls for a leaf, ordered by priority and deadline, and their dispatch.
 *
 * @module
 */
import { andThen, invariantBroken, step } from "../core/mod.js";
import type { LeafCall } from "../entry/entry_messages.js";
import { fnv1a } from "../hashing/mod.js";
import { callKey, endFlight, putLeaf } from "./flights.js";
import { needsMeasurement } from "./leaf_condition.js";
import type { PoolEffect } from "./pool_messages.js";
import type { Flight, LeafState, PoolState, PoolStep, Waiter } from "./pool_state.js";

interface QueueOptions {
  readonly call: LeafCall;
  readonly waiter: Waiter;
  readonly shareKey: string;
  readonly deadlineAtMs: number;
  readonly nowMs: number;
}

/**
 * Queues a call and dispatches queued calls while the leaf has free slots.
 *
 * @param state - State of the pool.
 * @param leaf - State of the leaf.
 * @param options - The call, its waiter, its key for sharing and its deadline.
 * @returns The new state and the effects.
 */
export function queueCall(
  state: PoolState,
  leaf: LeafState,
  { call, waiter, shareKey, deadlineAtMs, nowMs }: QueueOptions,
): PoolStep {
  const flightId = String(state.nextId);
  const flight: Flight = {
    flightId,
    leafKey: leaf.leafKey,
    shareKey,
    shareHash: fnv1a(shareKey),
    snapshot: call.snapshot,
    shard: call.shard,
    bodyJson: call.bodyJson,
    rights: call.rights,
    priorityRank: call.priorityRank,
    deadlineAtMs,
    waiters: [waiter],
    sentAtMs: 0,
  };
  const queue = insertByUrgency(state, leaf.queue, flight);
  const next: PoolState = {
    ...state,
    nextId: state.nextId + 1,
    leafs: state.leafs.set(leaf.leafKey, { ...leaf, queue }),
    flights: state.flights.set(flightId, flight),
    flightByHash:
      shareKey === "" ? state.flightByHash : state.flightByHash.set(flight.shareHash, flightId),
    flightByCall: state.flightByCall.set(callKey(waiter), flightId),
  };
  return dispatchNext(next, leaf.leafKey, nowMs);
}

/** Orders by priority, then by deadline, then by arrival. */
function insertByUrgency(
  state: PoolState,
  queue: ReadonlyArray<string>,
  flight: Flight,
): ReadonlyArray<string> {
  const index = queue.findIndex((flightId) => {
    const other = state.flights.get(flightId);
    return other !== undefined && isMoreUrgent(flight, other);
  });
  return index < 0 ? [...queue, flight.flightId] : queue.toSpliced(index, 0, flight.flightId);
}

function isMoreUrgent(flight: Flight, other: Flight): boolean {
  return flight.priorityRank === other.priorityRank
    ? flight.deadlineAtMs < other.deadlineAtMs
    : flight.priorityRank < other.priorityRank;
}

/**
 * Dispatches queued calls while slots are free. A call that can no longer meet its deadline is
 * refused without being run.
 *
 * @param state - State of the pool.
 * @param key - Key of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state and the effects.
 */
export function dispatchNext(state: PoolState, key: string, nowMs: number): PoolStep {
  const leaf = state.leafs.get(key);
  const flightId = leaf?.queue[0];
  if (leaf === undefined || flightId === undefined || leaf.inFlight >= leaf.warmSlots) {
    return step(state);
  }
  const dequeued = { ...leaf, queue: leaf.queue.slice(1) };
  const flight = state.flights.get(flightId);
  if (flight === undefined) {
    return dispatchNext(putLeaf(state, dequeued), key, nowMs);
  }
  const minServiceMs = needsMeasurement(leaf, nowMs)
    ? 0
    : leaf.serviceTimeMs * MIN_SERVICE_TIME_RATIO;
  const isLate = nowMs + minServiceMs >= flight.deadlineAtMs;
  const handled = isLate
    ? endFlight(putLeaf(state, dequeued), flight, {
        kind: "refused",
        reason: "overloaded",
        retryAfterMs: 0,
      })
    : sendFlight(state, dequeued, { flight, nowMs });
  return andThen(handled, (next) => dispatchNext(next, key, nowMs));
}

/** Minimum time left before the deadline at dispatch, as a fraction of the leaf's service time. */
const MIN_SERVICE_TIME_RATIO = 0.5;

function sendFlight(
  state: PoolState,
  leaf: LeafState,
  { flight, nowMs }: { readonly flight: Flight; readonly nowMs: number },
): PoolStep {
  const occupied = { ...leaf, inFlight: leaf.inFlight + 1 };
  const sent = { ...flight, sentAtMs: nowMs };
  const next = { ...putLeaf(state, occupied), flights: state.flights.set(flight.flightId, sent) };
  const fields = { leaf: leaf.leafKey, flightId: flight.flightId };
  const violations = [
    ...(occupied.inFlight > leaf.leaf.slots ? invariantBroken("slots", fields) : []),
    ...(flight.sentAtMs > 0 ? invariantBroken("one dispatch", fields) : []),
    ...(leaf.condition === "ready" ? [] : invariantBroken("leaving", fields)),
  ];
  return step<PoolState, PoolEffect>(next, ...violations, {
    kind: "dispatch",
    dispatch: {
      flightId: flight.flightId,
      leaf: leaf.leaf,
      snapshot: flight.snapshot,
      shard: flight.shard,
      bodyJson: flight.bodyJson,
      rights: flight.rights,
      priorityRank: flight.priorityRank,
      timeoutMs: flight.deadlineAtMs - nowMs,
    },
  });
}
