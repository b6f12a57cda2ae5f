/**
 * Whether a leaf takes calls: what it signals, what the box list says and what the pool sees. Each
 * of them alone suffices to stop new work.
 *
 * @module
 */
import { logInfo } from "../core/mod.js";
import type { LeafReport } from "../entry/entry_messages.js";
import { updateClampedMean } from "../latency/mod.js";
import type { LeafSignal } from "./pool_messages.js";
import type { LeafCondition, LeafState } from "./pool_state.js";

/** Time a leaf counts as leaving after it last said so, whatever it says then, in milliseconds. */
export const DRAIN_HOLD_MS = 30_000;

/** Time a leaf that cannot be reached is left alone, in milliseconds. */
const DOWN_HOLD_MS = 500;

/** Failures in a row after which a leaf counts as down. */
const DOWN_AFTER_FAILURES = 2;

/** Shortest time that a call counts for, in milliseconds. */
const SHORTEST_MS = 0.1;

/** Most that one observation counts for in the mean, as a multiple of it. */
const OUTLIER_FACTOR = 4;

const HOLD_MS: Readonly<Record<LeafCondition, number>> = {
  ready: 0,
  cold: 0,
  draining: DRAIN_HOLD_MS,
  down: DOWN_HOLD_MS,
};

/**
 * Takes in what a leaf signals of itself.
 *
 * @param state - The leaf so far.
 * @param signal - What it says.
 * @param nowMs - The present moment.
 * @returns The leaf after that; a leaf held as leaving does not come back by its own word alone.
 */
export function takeSignal(state: LeafState, signal: LeafSignal, nowMs: number): LeafState {
  if (signal === "ready" && nowMs < state.heldUntilMs) {
    return state;
  }
  return setCondition(state, signal, nowMs);
}

/**
 * Notes that a leaf could not be reached or failed a call.
 *
 * @param state - The leaf so far.
 * @param nowMs - The present moment.
 * @returns The leaf after that; down after a few failures in a row.
 */
export function noteFailure(state: LeafState, nowMs: number): LeafState {
  const failed = { ...state, failures: state.failures + 1 };
  const isDown = failed.failures >= DOWN_AFTER_FAILURES && state.condition !== "draining";
  return isDown ? setCondition(failed, "down", nowMs) : failed;
}

/**
 * Puts a leaf into a condition.
 *
 * @param state - The leaf so far.
 * @param condition - The condition.
 * @param nowMs - The present moment.
 * @returns The leaf after that; one that comes back starts with a single slot.
 */
export function setCondition(state: LeafState, condition: LeafCondition, nowMs: number): LeafState {
  if (state.condition === condition && condition === "ready") {
    return state;
  }
  const comesBack = condition === "ready";
  return {
    ...state,
    condition,
    heldUntilMs: nowMs + HOLD_MS[condition],
    warmSlots: comesBack ? 1 : state.warmSlots,
    failures: comesBack ? 0 : state.failures,
  };
}

/**
 * Notes that a leaf answered a call.
 *
 * @param state - The leaf so far.
 * @param tookMs - Time from sending to answer.
 * @returns The leaf after that, with one more slot in use after a cold start.
 */
export function noteAnswer(state: LeafState, tookMs: number): LeafState {
  return {
    ...state,
    serviceTimeMs: updateClampedMean(state.serviceTimeMs, Math.max(SHORTEST_MS, tookMs), {
      outlierFactor: OUTLIER_FACTOR,
    }),
    warmSlots: Math.min(state.leaf.slots, state.warmSlots + 1),
    failures: 0,
  };
}

/**
 * Works out how long a call of some urgency would wait for a slot.
 *
 * @param state - The leaf.
 * @param ahead - Calls queued before it.
 * @returns Milliseconds.
 */
export function expectedWaitMs(state: LeafState, ahead: number): number {
  const busy = state.inFlight >= state.warmSlots ? 1 : 0;
  return ((ahead + busy) / Math.max(1, state.warmSlots)) * state.serviceTimeMs;
}

/**
 * Makes the report of a leaf for entries.
 *
 * @param state - The leaf.
 * @returns The report.
 */
export function reportLeaf(state: LeafState): LeafReport {
  return {
    service: state.leaf.service,
    leafId: state.leaf.leafId,
    waitMs: expectedWaitMs(state, state.queue.length),
    serviceTimeMs: state.serviceTimeMs,
    available: state.condition === "ready",
  };
}

/**
 * Makes the log line of a leaf whose condition has changed.
 *
 * @param state - The leaf.
 * @returns The effect.
 */
export function conditionLog(state: LeafState) {
  return logInfo("leaf", `${state.leafKey} is ${state.condition}`, {
    server: state.leaf.serverId,
  });
}
