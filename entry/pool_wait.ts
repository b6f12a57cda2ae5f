/**
 * Waits of fetches for a pool while none is connected: after the start of the entry, and after the
 * last stream was lost.
 *
 * @module
 */
import { step } from "../core/mod.js";
import { SUSPICION_TIMEOUT_MS } from "../membership/mod.js";
import { MIN_ATTEMPT_MS } from "./attempts.js";
import type { EntryEffect } from "./entry_messages.js";
import type { EntryState, EntryStep, Fetch } from "./entry_state.js";

/**
 * Maximum time for which a fetch waits for a pool, in milliseconds. A pool that has not answered by
 * then is considered dead.
 */
const MAX_POOL_WAIT_MS = SUSPICION_TIMEOUT_MS;

/**
 * Returns whether a fetch may wait for a pool: none is connected, and there is time left.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @param nowMs - Current time, in milliseconds.
 * @returns Whether it may wait.
 */
export function mayAwaitPool(
  { openPools }: EntryState,
  { deadlineAtMs }: Fetch,
  nowMs: number,
): boolean {
  return openPools.isEmpty() && deadlineAtMs - nowMs >= MIN_ATTEMPT_MS;
}

/**
 * Stores a fetch that waits for a pool, and schedules the end of the wait.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch, without pending attempts.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function awaitPool(state: EntryState, fetch: Fetch, nowMs: number): EntryStep {
  const awaiting: Fetch = { ...fetch, awaitsPoolSinceMs: nowMs };
  return step<EntryState, EntryEffect>(
    { ...state, fetches: state.fetches.set(fetch.fetchId, awaiting) },
    {
      kind: "setTimer",
      timer: { kind: "poolWait", id: fetch.fetchId },
      delayMs: Math.min(MAX_POOL_WAIT_MS, fetch.deadlineAtMs - nowMs),
    },
  );
}

/**
 * Clears the timer of a wait.
 *
 * @param fetch - The fetch.
 * @returns The effect; none if the fetch does not wait.
 */
export function clearPoolWait({ awaitsPoolSinceMs, fetchId }: Fetch): ReadonlyArray<EntryEffect> {
  return awaitsPoolSinceMs === undefined
    ? []
    : [{ kind: "clearTimer", timer: { kind: "poolWait", id: fetchId } }];
}
