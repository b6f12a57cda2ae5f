/**
 * Condition of a leaf, derived from its own signals, the box list and failures seen by the pool. Any
 * one of these sources is enough to stop new calls.
 *
 * @module
 */
import { logInfo } from "../core/mod.js";
import type { LeafReport } from "../entry/entry_messages.js";
import { updateClampedMean } from "../latency/mod.js";
import type { LeafSignal } from "./pool_messages.js";
import type { LeafCondition, LeafState } from "./pool_state.js";

/** Time for which a draining leaf ignores a ready signal, in milliseconds. */
export const DRAIN_HOLD_MS = 30_000;

/** Time for which an unreachable leaf ignores a ready signal, in milliseconds. */
const DOWN_HOLD_MS = 500;

/** Consecutive failures after which a leaf is down. */
const DOWN_AFTER_FAILURES = 2;

/** Time after the last answer for which the mean service time of a leaf is valid, in milliseconds. */
const SERVICE_TIME_VALID_MS = 2_000;

/** Minimum service time recorded for a call, in milliseconds. */
const MIN_SERVICE_TIME_MS = 0.1;

/** Multiple of the mean service time to which a sample is clamped. */
const OUTLIER_FACTOR = 4;

/** Time for which a condition ignores a ready signal, in milliseconds. */
const HOLD_MS: Readonly<Record<LeafCondition, number>> = {
  ready: 0,
  cold: 0,
  draining: DRAIN_HOLD_MS,
  down: DOWN_HOLD_MS,
};

/**
 * Applies the state that a leaf signals. A ready signal is ignored during the hold time of the
 * current condition.
 *
 * @param state - State of the leaf.
 * @param signal - The signal.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state of the leaf.
 */
export function applySignal(state: LeafState, signal: LeafSignal, nowMs: number): LeafState {
  const signalled = state.failedProbes === 0 ? state : { ...state, failedProbes: 0 };
  if (signal === "ready" && nowMs < state.ignoreReadyUntilMs) {
    return signalled;
  }
  return setCondition(signalled, signal, nowMs);
}

/**
 * Records a failed call.
 *
 * @param state - State of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state of the leaf.
 */
export function recordFailure(state: LeafState, nowMs: number): LeafState {
  return downAfterFailures({ ...state, failures: state.failures + 1 }, nowMs);
}

/**
 * Records a failed probe. A signal of the leaf resets the number of failed probes, but not of failed
 * calls, as a leaf may answer probes and fail calls.
 *
 * @param state - State of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state of the leaf.
 */
export function recordFailedProbe(state: LeafState, nowMs: number): LeafState {
  return downAfterFailures({ ...state, failedProbes: state.failedProbes + 1 }, nowMs);
}

/** Marks a leaf as down after `DOWN_AFTER_FAILURES` failures, unless it is draining. */
function downAfterFailures(failed: LeafState, nowMs: number): LeafState {
  const hasFailed = failed.failures + failed.failedProbes >= DOWN_AFTER_FAILURES;
  return hasFailed && failed.condition !== "draining"
    ? setCondition(failed, "down", nowMs)
    : failed;
}

/**
 * Sets the condition of a leaf. A leaf that becomes ready again starts with a single slot.
 *
 * @param state - State of the leaf.
 * @param condition - The new condition.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state of the leaf.
 */
export function setCondition(state: LeafState, condition: LeafCondition, nowMs: number): LeafState {
  if (state.condition === condition && condition === "ready") {
    return state;
  }
  const isRecovering = condition === "ready";
  return {
    ...state,
    condition,
    ignoreReadyUntilMs: nowMs + HOLD_MS[condition],
    warmSlots: isRecovering ? 1 : state.warmSlots,
    failures: isRecovering ? 0 : state.failures,
    failedProbes: isRecovering ? 0 : state.failedProbes,
  };
}

/**
 * Records an answered call: updates the mean service time and, while the leaf is warming up, allows
 * one more slot.
 *
 * @param state - State of the leaf.
 * @param answer - Time from dispatch to answer, without stalls of the pool, and the current time,
 *   in milliseconds.
 * @returns The new state of the leaf.
 */
export function recordAnswer(
  state: LeafState,
  { tookMs, nowMs }: { readonly tookMs: number; readonly nowMs: number },
): LeafState {
  return {
    ...state,
    answeredAtMs: nowMs,
    serviceTimeMs: updateClampedMean(state.serviceTimeMs, Math.max(MIN_SERVICE_TIME_MS, tookMs), {
      outlierFactor: OUTLIER_FACTOR,
    }),
    warmSlots: Math.min(state.leaf.slots, state.warmSlots + 1),
    failures: 0,
  };
}

/**
 * Estimates how long a call would wait for a slot.
 *
 * @param state - State of the leaf.
 * @param ahead - Number of calls queued before it.
 * @returns Expected wait, in milliseconds.
 */
export function expectedWaitMs(state: LeafState, ahead: number): number {
  const busy = state.inFlight >= state.warmSlots ? 1 : 0;
  return ((ahead + busy) / Math.max(1, state.warmSlots)) * state.serviceTimeMs;
}

/**
 * Returns whether a call to a leaf would show its current service time: the leaf is idle, and it
 * has not answered for so long that it may be faster by now.
 *
 * @param state - State of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns Whether the mean service time must not be a reason to refuse a call.
 */
export function needsMeasurement({ answeredAtMs, inFlight }: LeafState, nowMs: number): boolean {
  return inFlight === 0 && nowMs - answeredAtMs > SERVICE_TIME_VALID_MS;
}

/**
 * Builds the report of a leaf for entries.
 *
 * @param state - State of the leaf.
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
 * Builds the log line for a changed condition.
 *
 * @param state - State of the leaf.
 * @returns The effect.
 */
export function conditionChangeLog(state: LeafState) {
  return logInfo("leaf", `${state.leafKey} is ${state.condition}`, {
    server: state.leaf.serverId,
  });
}
