/**
 * Second attempts: hedges of slow fetches, and retries that bypass unresponsive pools.
 *
 * @module
 */
import { andThen, logWarn, step } from "../core/mod.js";
import { NO_ESTIMATE, updateQuantile } from "../latency/mod.js";
import { MIN_ATTEMPT_MS, sendAttempt, sendExtraAttempt } from "./attempts.js";
import { chooseTarget } from "./candidates.js";
import type { EntryEffect } from "./entry_messages.js";
import type { Attempt, EntryState, EntryStep, Fetch } from "./entry_state.js";

/** Quantile of latency after which a hedge is sent. */
const HEDGE_QUANTILE = 0.95;

/** Minimum delay before a hedge, in milliseconds. */
const MIN_HEDGE_DELAY_MS = 2;

/** Delay before a hedge while there are too few observations, in milliseconds. */
const INITIAL_HEDGE_DELAY_MS = 50;

/** Number of observations from which the estimated delay is used. */
const MIN_OBSERVATIONS = 20;

/**
 * Time without a message after which a pool counts as unresponsive, in milliseconds. A pool with
 * pending calls sends messages more often than that, however long the calls run.
 */
const UNRESPONSIVE_AFTER_MS = 100;

function hedgeDelayMs(state: EntryState, service: string): number {
  const { quantileMs, count } = state.hedgeDelays.get(service) ?? NO_ESTIMATE;
  return count < MIN_OBSERVATIONS
    ? INITIAL_HEDGE_DELAY_MS
    : Math.max(MIN_HEDGE_DELAY_MS, quantileMs);
}

/**
 * Returns the delay before a fetch is checked for the first time: for a hedge, or because its call
 * may be stuck in an unresponsive pool. A shard with a single leaf is never hedged.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @returns Delay, in milliseconds.
 */
export function firstCheckDelayMs(
  state: EntryState,
  { leafIds, service }: Pick<Fetch, "leafIds" | "service">,
): number {
  const hedgeMs = leafIds.length > 1 ? hedgeDelayMs(state, service) : Number.POSITIVE_INFINITY;
  return Math.min(hedgeMs, UNRESPONSIVE_AFTER_MS);
}

/**
 * Sends a hedge for a fetch, or retries it through another pool if its pool is unresponsive, and
 * schedules the next check.
 *
 * @param state - The entry's state.
 * @param fetchId - The fetch.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step; nothing is sent if the budget, the replicas or the remaining time do not
 *   allow it.
 */
export function hedgeFetch(state: EntryState, fetchId: string, nowMs: number): EntryStep {
  const fetch = state.fetches.get(fetchId);
  const pending = fetch?.attempts.filter((attempt) => attempt.pending) ?? [];
  const [first] = pending;
  if (fetch === undefined || first === undefined || !fetch.repeatable) {
    return step(state);
  }
  const lastContactAtMs = Math.max(
    state.poolLastContactAtMs.get(first.poolId) ?? 0,
    first.sentAtMs,
  );
  const isUnresponsive = nowMs - lastContactAtMs >= UNRESPONSIVE_AFTER_MS;
  const untilHedgeMs = hedgeDelayMs(state, fetch.service) - elapsedMs(fetch, nowMs);
  const sent = isUnresponsive
    ? bypassUnresponsivePool(state, fetch, { poolId: first.poolId, nowMs })
    : sendHedgeIfDue(state, fetch, { untilHedgeMs, nowMs });
  return andThen(sent, (next) =>
    step<EntryState, EntryEffect>(next, {
      kind: "setTimer",
      timer: { kind: "hedge", id: fetchId },
      delayMs: nextCheckDelayMs(untilHedgeMs),
    }),
  );
}

/** Returns the time since the first attempt of a fetch, in milliseconds. */
function elapsedMs({ attempts }: Fetch, nowMs: number): number {
  return nowMs - (attempts[0]?.sentAtMs ?? nowMs);
}

/** Returns the delay before the next check, in milliseconds: until a hedge is due, if that is near. */
function nextCheckDelayMs(untilHedgeMs: number): number {
  return untilHedgeMs > 0 ? Math.min(untilHedgeMs, UNRESPONSIVE_AFTER_MS) : UNRESPONSIVE_AFTER_MS;
}

function sendHedgeIfDue(
  state: EntryState,
  fetch: Fetch,
  { untilHedgeMs, nowMs }: { readonly untilHedgeMs: number; readonly nowMs: number },
): EntryStep {
  if (untilHedgeMs > 0) {
    return step(state);
  }
  const isOnlyAttempt = fetch.attempts.filter((attempt) => attempt.pending).length === 1;
  const target = isOnlyAttempt ? chooseTarget(state, fetch, nowMs) : undefined;
  const tried = fetch.attempts.some((attempt) => attempt.leafId === target?.leaf.leafId);
  return target === undefined || tried
    ? step(state)
    : sendExtraAttempt(state, fetch, { ...target, purpose: "hedge", nowMs });
}

/**
 * Retries a fetch through another pool. The budget does not apply, as it protects leafs and the
 * calls of an unresponsive pool reached none.
 */
function bypassUnresponsivePool(
  state: EntryState,
  fetch: Fetch,
  { poolId, nowMs }: { readonly poolId: string; readonly nowMs: number },
): EntryStep {
  const updated = { ...state, unresponsivePools: state.unresponsivePools.add(poolId) };
  const target = chooseTarget(updated, fetch, nowMs);
  const isTooLate = fetch.deadlineAtMs - nowMs < MIN_ATTEMPT_MS;
  const usesOtherPool = fetch.attempts.every((attempt) => {
    return !attempt.pending || attempt.poolId !== target?.poolId;
  });
  return target === undefined || isTooLate || !usesOtherPool
    ? step(updated)
    : andThen(
        step<EntryState, EntryEffect>(
          updated,
          logWarn("placement", `bypassed unresponsive pool ${poolId}`),
        ),
        (next) => sendAttempt(next, fetch, { ...target, purpose: "retry", nowMs }),
      );
}

/**
 * Updates the estimated hedge delay; a first attempt overtaken by a hedge counts with its elapsed
 * time.
 */
export function observeLatency(
  state: EntryState,
  fetch: Fetch,
  { attempt, nowMs }: { readonly attempt: Attempt; readonly nowMs: number },
): EntryState {
  const first = fetch.attempts[0] ?? attempt;
  const estimate = updateQuantile(
    state.hedgeDelays.get(fetch.service) ?? NO_ESTIMATE,
    nowMs - first.sentAtMs,
    { quantile: HEDGE_QUANTILE },
  );
  return { ...state, hedgeDelays: state.hedgeDelays.set(fetch.service, estimate) };
}
