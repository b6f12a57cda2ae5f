/**
 * Fetches: retrieve one shard's rows for all identical queries.
 *
 * @module
 */
import { andThen, step } from "../core/mod.js";
import type { ShardOutcome } from "../query/mod.js";
import { sendAttempt } from "./attempts.js";
import { chooseTarget, type Target } from "./candidates.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Fetch } from "./entry_state.js";
import { firstCheckDelayMs } from "./hedging.js";
import { awaitPool, clearPoolWait, mayAwaitPool } from "./pool_wait.js";

/** A fetch that has ended, with its outcome for the waiting queries. */
export interface SettledFetch {
  readonly fetch: Fetch;
  readonly outcome: ShardOutcome;
}

/** A step that may have ended a fetch. */
export interface FetchStep extends EntryStep {
  readonly settled: SettledFetch | undefined;
}

/**
 * Marks a step as having ended no fetch.
 *
 * @param current - The step.
 * @returns The same step, without a settled fetch.
 */
export function unsettled(current: EntryStep): FetchStep {
  return { ...current, settled: undefined };
}

/**
 * Sends the first attempt of a fetch, or waits for a pool if none is connected.
 *
 * @param state - The entry's state, without the fetch.
 * @param fetch - The fetch, without attempts.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step; the fetch settles immediately if no leaf can be called.
 */
export function startFetch(state: EntryState, fetch: Fetch, nowMs: number): FetchStep {
  const target = chooseTarget(state, fetch, nowMs);
  const awaitsPool = target === undefined && mayAwaitPool(state, fetch, nowMs);
  if (target === undefined && !awaitsPool) {
    const outcome = { kind: "lacking", reason: fetch.lastReason, notRun: true } as const;
    return { state, effects: [], settled: { fetch, outcome } };
  }
  const shared: EntryState = {
    ...state,
    fetchByHash:
      fetch.shareKey === ""
        ? state.fetchByHash
        : state.fetchByHash.set(fetch.shareHash, fetch.fetchId),
    fetchesByService: addToFetchCount(state, fetch.service, 1),
  };
  return unsettled(
    target === undefined
      ? awaitPool(shared, fetch, nowMs)
      : sendFirstAttempt(shared, fetch, { ...target, nowMs }),
  );
}

/**
 * Sends the first attempt of a fetch to a target, and schedules its first check for a hedge or an
 * unresponsive pool.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @param options - Leaf and pool of the call, and the current time.
 * @returns The step.
 */
export function sendFirstAttempt(
  state: EntryState,
  fetch: Fetch,
  options: Target & { readonly nowMs: number },
): EntryStep {
  return andThen(sendAttempt(state, fetch, { ...options, purpose: "first" }), (sent) =>
    fetch.repeatable
      ? step<EntryState, EntryEffect>(sent, {
          kind: "setTimer",
          timer: { kind: "hedge", id: fetch.fetchId },
          delayMs: firstCheckDelayMs(sent, fetch),
        })
      : step<EntryState, EntryEffect>(sent),
  );
}

function addToFetchCount(
  { fetchesByService }: EntryState,
  service: string,
  delta: number,
): EntryState["fetchesByService"] {
  return fetchesByService.set(service, (fetchesByService.get(service) ?? 0) + delta);
}

/**
 * Removes a fetch and cancels its pending attempts.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @returns The step.
 */
export function removeFetch(state: EntryState, fetch: Fetch): EntryStep {
  const pending = fetch.attempts.filter((attempt) => attempt.pending);
  const cancels = pending.map(({ poolId, callId }) => {
    return { kind: "cancelCall", poolId, callId } as const;
  });
  const isShared = state.fetchByHash.get(fetch.shareHash) === fetch.fetchId;
  const next: EntryState = {
    ...state,
    fetches: state.fetches.delete(fetch.fetchId),
    fetchesByService: addToFetchCount(state, fetch.service, -1),
    fetchByHash: isShared ? state.fetchByHash.delete(fetch.shareHash) : state.fetchByHash,
  };
  const clear = { kind: "clearTimer", timer: { kind: "hedge", id: fetch.fetchId } } as const;
  return step<EntryState, EntryEffect>(next, clear, ...clearPoolWait(fetch), ...cancels);
}
