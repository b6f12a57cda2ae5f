/**
 * Fetches that wait for a pool: sent once a pool is connected, or settled at the end of the wait.
 *
 * @module
 */
import { andThen, forEachStep, logInfo, step } from "../core/mod.js";
import { sendAttempt } from "./attempts.js";
import { chooseTarget } from "./candidates.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Fetch } from "./entry_state.js";
import { type FetchStep, removeFetch, sendFirstAttempt, unsettled } from "./fetches.js";
import { clearPoolWait } from "./pool_wait.js";

/** Retry delay of a query for which no pool was connected in time, in milliseconds. */
const NO_POOL_RETRY_MS = 1_000;

/**
 * Sends the fetches that wait for a pool, after one was connected.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function sendAwaitingFetches(state: EntryState, nowMs: number): EntryStep {
  const awaiting = [...state.fetches.values()].filter((fetch) => {
    return fetch.awaitsPoolSinceMs !== undefined;
  });
  if (awaiting.length === 0) {
    return step(state);
  }
  const log = logInfo("placement", `sends ${awaiting.length} fetches that waited for a pool`);
  return forEachStep(step<EntryState, EntryEffect>(state, log), awaiting, (next, fetch) => {
    return sendAwaitingFetch(next, fetch, nowMs);
  });
}

function sendAwaitingFetch(state: EntryState, awaiting: Fetch, nowMs: number): EntryStep {
  const target = chooseTarget(state, awaiting, nowMs);
  if (target === undefined) {
    return step(state);
  }
  const fetch: Fetch = { ...awaiting, awaitsPoolSinceMs: undefined };
  const cleared = step<EntryState, EntryEffect>(state, ...clearPoolWait(awaiting));
  return andThen(cleared, (next) =>
    fetch.attempts.length === 0
      ? sendFirstAttempt(next, fetch, { ...target, nowMs })
      : sendAttempt(next, fetch, { ...target, purpose: "retry", nowMs }),
  );
}

/**
 * Ends the wait of a fetch for a pool.
 *
 * @param state - The entry's state.
 * @param fetchId - The fetch.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step; the fetch settles without rows unless it has been sent meanwhile.
 */
export function endPoolWait(state: EntryState, fetchId: string, nowMs: number): FetchStep {
  const awaiting = state.fetches.get(fetchId);
  if (awaiting?.awaitsPoolSinceMs === undefined) {
    return unsettled(step(state));
  }
  const sent = sendAwaitingFetch(state, awaiting, nowMs);
  if (sent.state !== state) {
    return unsettled(sent);
  }
  const notRun = awaiting.attempts.every((attempt) => attempt.notRun);
  const outcome = { kind: "lacking", reason: awaiting.lastReason, notRun } as const;
  const fetch: Fetch = { ...awaiting, lastRetryAfterMs: NO_POOL_RETRY_MS };
  return { ...removeFetch(state, awaiting), settled: { fetch, outcome } };
}
