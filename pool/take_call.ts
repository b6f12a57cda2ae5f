/**
 * Taking an entry's call: shared, queued or refused at once as not run.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { countOne, step } from "../core/mod.js";
import type { CallResult, LeafCall } from "../entry/entry_messages.js";
import { fnv1a } from "../hashing/mod.js";
import type { MissingReason } from "../model/mod.js";
import { queueCall } from "./flight_queue.js";
import { joinFlight, putLeaf } from "./flights.js";
import { expectedWaitMs, reportLeaf, setCondition } from "./leaf_condition.js";
import type { PoolEffect } from "./pool_messages.js";
import {
  type Flight,
  type LeafState,
  newLeafState,
  type PoolState,
  type PoolStep,
  type Waiter,
} from "./pool_state.js";

/** Most calls that wait for one leaf. */
export const QUEUE_MAX = 256;

/**
 * Names a leaf among all services.
 *
 * @param service - The service.
 * @param leafId - The leaf within it.
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
 * Takes an entry's call.
 *
 * @param state - The pool's state.
 * @param call - The call.
 * @param context - The entry and the present moment.
 * @returns The step; a call that cannot be run in time is refused at once.
 */
export function takeCall(
  state: PoolState,
  call: LeafCall,
  { entryId, nowMs }: CallContext,
): PoolStep {
  const key = leafKeyOf(call.service, call.leafId);
  const leaf = state.control.catalog.services.get(call.service)?.leafs.get(call.leafId);
  const held =
    state.leafs.get(key) ?? (leaf === undefined ? undefined : openLeaf(state, key, leaf, nowMs));
  const waiter = { entryId, callId: call.callId };
  if (held === undefined) {
    return refuseCall(state, waiter, { reason: "no replica", retryAfterMs: 0 });
  }
  const shareKey = shareKeyOf(call);
  const shared = state.flights.get(state.flightByHash.get(fnv1a(shareKey)) ?? "");
  const deadlineAtMs = nowMs + call.remainingMs;
  const isSame = shareKey !== "" && shared?.shareKey === shareKey;
  if (isSame && mayJoin(shared, call, nowMs)) {
    return joinFlight(state, shared, { waiter, deadlineAtMs });
  }
  const known = state.leafs.has(key) ? state : putLeaf(state, held);
  const refusal = refusalOf(held, call);
  return refusal === undefined
    ? queueCall(known, held, { call, waiter, shareKey, deadlineAtMs, nowMs })
    : refuseCall(known, waiter, refusal, held);
}

/** A leaf first heard of on a box that is leaving gets no work from the start. */
export function openLeaf(state: PoolState, key: string, leaf: Leaf, nowMs: number): LeafState {
  const opened = newLeafState(key, leaf);
  return isListedLeaving(state, leaf) ? setCondition(opened, "draining", nowMs) : opened;
}

/**
 * Tells whether the box list says that a leaf's box is leaving.
 *
 * @param state - The pool's state.
 * @param leaf - The leaf.
 * @returns Whether it does.
 */
export function isListedLeaving(state: PoolState, leaf: Leaf): boolean {
  return state.control.catalog.boxList.boxes.some((box) => box.box === leaf.box && box.leaving);
}

function shareKeyOf(call: LeafCall): string {
  const { repeatable, rights, service, leafId, snapshot, shard, bodyJson } = call;
  return repeatable ? JSON.stringify([rights, service, leafId, snapshot, shard, bodyJson]) : "";
}

/** Share of a call's time that a flight must have left to be joined. */
const JOIN_TIME_SHARE = 0.5;

/** A flight that is less urgent, or that its leaf may drop long before the deadline, is not joined. */
function mayJoin(flight: Flight, call: LeafCall, nowMs: number): boolean {
  const leftMs = flight.deadlineAtMs - nowMs;
  return flight.priorityRank <= call.priorityRank && leftMs >= call.remainingMs * JOIN_TIME_SHARE;
}

interface Refusal {
  readonly reason: MissingReason;
  readonly retryAfterMs: number;
}

/**
 * Why calls are refused in each condition.
 */
export const CONDITION_REASONS: Readonly<
  Record<Exclude<LeafState["condition"], "ready">, MissingReason>
> = {
  cold: "no replica",
  draining: "leaving",
  down: "leaf failed",
};

function refusalOf(leaf: LeafState, call: LeafCall): Refusal | undefined {
  if (leaf.condition !== "ready") {
    return { reason: CONDITION_REASONS[leaf.condition], retryAfterMs: 0 };
  }
  const waitMs = expectedWaitMs(leaf, leaf.queue.length);
  const lateByMs = waitMs + leaf.serviceTimeMs - call.remainingMs;
  if (lateByMs > 0 && call.priorityRank > 0) {
    return { reason: "overloaded", retryAfterMs: Math.ceil(lateByMs) };
  }
  return leaf.queue.length >= QUEUE_MAX
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
