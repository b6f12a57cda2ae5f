/**
 * Admission of calls from entries: a call joins an identical one, is queued, or is refused without
 * being run.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { countOne, step } from "../core/mod.js";
import type { CallResult, LeafCall } from "../entry/entry_messages.js";
import { fnv1a } from "../hashing/mod.js";
import { lifecyclePhase } from "../lifecycle/mod.js";
import type { MissingReason } from "../model/mod.js";
import { queueCall } from "./flight_queue.js";
import { joinFlight, putLeaf } from "./flights.js";
import { expectedWaitMs, needsMeasurement, reportLeaf, setCondition } from "./leaf_condition.js";
import type { PoolEffect } from "./pool_messages.js";
import {
  type Flight,
  type LeafState,
  newLeafState,
  type PoolState,
  type PoolStep,
  type Waiter,
} from "./pool_state.js";

/** Maximum number of calls queued for one leaf. */
export const MAX_QUEUED_CALLS = 256;

/**
 * Returns the key of a leaf, unique across services.
 *
 * @param service - Name of the service.
 * @param leafId - Id of the leaf within the service.
 * @returns The key.
 */
export function leafKeyOf(service: string, leafId: string): string {
  return `${service} ${leafId}`;
}

interface CallContext {
  readonly entryId: string;
  readonly nowMs: number;
}

/**
 * Admits or refuses a call. A call that cannot finish in time is refused immediately.
 *
 * @param state - State of the pool.
 * @param call - The call.
 * @param context - The entry and the current time.
 * @returns The new state and the effects.
 */
export function admitCall(
  state: PoolState,
  call: LeafCall,
  { entryId, nowMs }: CallContext,
): PoolStep {
  const key = leafKeyOf(call.service, call.leafId);
  const leaf = state.control.catalog.services.get(call.service)?.leafs.get(call.leafId);
  const leafState =
    state.leafs.get(key) ??
    (leaf === undefined ? undefined : initialLeafState(state, key, leaf, nowMs));
  const waiter = { entryId, callId: call.callId };
  if (isStopping(state)) {
    return refuseCall(state, waiter, { reason: "pool lost", retryAfterMs: 0 });
  }
  if (leafState === undefined) {
    return refuseCall(state, waiter, { reason: "no replica", retryAfterMs: 0 });
  }
  const shareKey = shareKeyOf(call);
  const shared = state.flights.get(state.flightByHash.get(fnv1a(shareKey)) ?? "");
  const deadlineAtMs = nowMs + call.remainingMs;
  const isSame = shareKey !== "" && shared?.shareKey === shareKey;
  if (isSame && canJoin(shared, call, nowMs)) {
    return joinFlight(state, shared, { waiter, deadlineAtMs });
  }
  const withLeaf = state.leafs.has(key) ? state : putLeaf(state, leafState);
  const refusal = checkAdmission(leafState, call, nowMs);
  return refusal === undefined
    ? queueCall(withLeaf, leafState, { call, waiter, shareKey, deadlineAtMs, nowMs })
    : refuseCall(withLeaf, waiter, refusal, leafState);
}

/**
 * Creates the state of a leaf on first use. A leaf on a leaving box starts as draining.
 *
 * @param state - State of the pool.
 * @param key - Key of the leaf.
 * @param leaf - The leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The state of the leaf.
 */
export function initialLeafState(
  state: PoolState,
  key: string,
  leaf: Leaf,
  nowMs: number,
): LeafState {
  const created = newLeafState(key, leaf);
  return isBoxLeaving(state, leaf) ? setCondition(created, "draining", nowMs) : created;
}

/**
 * Checks whether the box list marks the box of a leaf as leaving.
 *
 * @param state - State of the pool.
 * @param leaf - The leaf.
 * @returns Whether the box is leaving.
 */
export function isBoxLeaving(state: PoolState, leaf: Leaf): boolean {
  return state.control.catalog.boxList.boxes.some((box) => box.box === leaf.box && box.leaving);
}

/** A pool that completes its calls takes no further ones, so that its stop ends. */
function isStopping({ control }: PoolState): boolean {
  const phase = lifecyclePhase(control.lifecycle);
  return phase === "finishing" || phase === "stopped";
}

function shareKeyOf(call: LeafCall): string {
  const { repeatable, rights, service, leafId, snapshot, shard, bodyJson } = call;
  return repeatable ? JSON.stringify([rights, service, leafId, snapshot, shard, bodyJson]) : "";
}

/** Minimum remaining time of a flight to be joined, as a fraction of the call's remaining time. */
const MIN_JOIN_TIME_RATIO = 0.5;

/** A flight with a lower priority or a much earlier deadline is not joined. */
function canJoin(flight: Flight, call: LeafCall, nowMs: number): boolean {
  const remainingMs = flight.deadlineAtMs - nowMs;
  return (
    flight.priorityRank <= call.priorityRank &&
    remainingMs >= call.remainingMs * MIN_JOIN_TIME_RATIO
  );
}

interface Refusal {
  readonly reason: MissingReason;
  readonly retryAfterMs: number;
}

/** Reason for refusing calls, by condition of the leaf. */
export const CONDITION_REASONS: Readonly<
  Record<Exclude<LeafState["condition"], "ready">, MissingReason>
> = {
  cold: "no replica",
  draining: "leaving",
  down: "leaf failed",
};

function checkAdmission(leaf: LeafState, call: LeafCall, nowMs: number): Refusal | undefined {
  if (leaf.condition !== "ready") {
    return { reason: CONDITION_REASONS[leaf.condition], retryAfterMs: 0 };
  }
  const waitMs = expectedWaitMs(leaf, leaf.queue.length);
  const overrunMs = waitMs + leaf.serviceTimeMs - call.remainingMs;
  if (overrunMs > 0 && call.priorityRank > 0 && !needsMeasurement(leaf, nowMs)) {
    return { reason: "overloaded", retryAfterMs: Math.ceil(overrunMs) };
  }
  return leaf.queue.length >= MAX_QUEUED_CALLS
    ? { reason: "overloaded", retryAfterMs: Math.ceil(waitMs) }
    : undefined;
}

function refuseCall(
  state: PoolState,
  { entryId, callId }: Waiter,
  { reason, retryAfterMs }: Refusal,
  leaf?: LeafState,
): PoolStep {
  const results: ReadonlyArray<CallResult> = [{ kind: "refused", callId, reason, retryAfterMs }];
  const reports = leaf === undefined ? [] : [reportLeaf(leaf)];
  return step<PoolState, PoolEffect>(
    state,
    { kind: "reply", entryId, results, reports },
    countOne("pool.refused", { reason }),
  );
}
