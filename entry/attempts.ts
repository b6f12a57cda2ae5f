/**
 * Attempts: sends the calls of a fetch, extra ones within the service's budget.
 *
 * @module
 */
import { countOne, invariantBroken, step } from "../core/mod.js";
import { type ExtraCallKind, FULL_BUDGET, takeExtraCall } from "../limits/mod.js";
import { leafKey, type Target } from "./candidates.js";
import type { EntryEffect } from "./entry_messages.js";
import type { Attempt, EntryState, EntryStep, Fetch } from "./entry_state.js";
import { UNKNOWN_LEAF } from "./leaf_view.js";

/** Minimum remaining time for an extra attempt, in milliseconds. */
export const MIN_ATTEMPT_MS = 2;

interface SendOptions extends Target {
  readonly purpose: Attempt["purpose"];
  readonly nowMs: number;
}

/**
 * Sends a call of a fetch, unless it might run a query that is not repeatable a second time.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @param options - Leaf, pool and purpose of the call.
 * @returns The step.
 */
export function sendAttempt(
  state: EntryState,
  fetch: Fetch,
  { leaf, poolId, purpose, nowMs }: SendOptions,
): EntryStep {
  const callId = `${fetch.fetchId}.${fetch.attempts.length}`;
  const attempt: Attempt = {
    callId,
    leafId: leaf.leafId,
    poolId,
    sentAtMs: nowMs,
    purpose,
    pending: true,
    notRun: false,
  };
  const sent: Fetch = { ...fetch, attempts: [...fetch.attempts, attempt] };
  const key = leafKey(fetch.service, leaf.leafId);
  const view = state.leafViews.get(key) ?? UNKNOWN_LEAF;
  const next: EntryState = {
    ...state,
    fetches: state.fetches.set(fetch.fetchId, sent),
    leafViews: state.leafViews.set(key, { ...view, sentSinceReport: view.sentSinceReport + 1 }),
  };
  const violations =
    !fetch.repeatable && fetch.attempts.some((earlier) => !earlier.notRun)
      ? invariantBroken("at most once", { fetchId: fetch.fetchId, shard: fetch.shard })
      : [];
  if (violations.length > 0) {
    return step<EntryState, EntryEffect>(state, ...violations);
  }
  return step<EntryState, EntryEffect>(
    next,
    {
      kind: "sendCall",
      poolId,
      call: {
        callId,
        service: fetch.service,
        leafId: leaf.leafId,
        snapshot: fetch.snapshot,
        shard: fetch.shard,
        remainingMs: fetch.deadlineAtMs - nowMs,
        priorityRank: fetch.priorityRank,
        repeatable: fetch.repeatable,
        rights: fetch.rights,
        bodyJson: fetch.bodyJson,
      },
    },
    countOne("leaf.calls", { service: fetch.service, purpose }),
  );
}

/**
 * Sends a hedge or retry, if the budget and the remaining time allow it.
 *
 * @param state - The entry's state.
 * @param fetch - The fetch.
 * @param options - Leaf, pool and purpose of the call.
 * @returns The step; its state is unchanged if nothing was sent.
 */
export function sendExtraAttempt(
  state: EntryState,
  fetch: Fetch,
  options: SendOptions & { readonly purpose: ExtraCallKind },
): EntryStep {
  if (fetch.deadlineAtMs - options.nowMs < MIN_ATTEMPT_MS) {
    return step(state);
  }
  if (isExemptFromBudget(fetch)) {
    return sendAttempt(state, fetch, options);
  }
  const budget = takeExtraCall(
    state.extraLoadBudgets.get(fetch.service) ?? FULL_BUDGET,
    options.purpose,
  );
  return budget === undefined
    ? step(state)
    : sendAttempt(
        { ...state, extraLoadBudgets: state.extraLoadBudgets.set(fetch.service, budget) },
        fetch,
        options,
      );
}

/**
 * Returns whether another attempt is exempt from the budget, as it adds no load to a failing
 * service: none of the earlier attempts reached a leaf, or the last one failed with its pool.
 */
function isExemptFromBudget(fetch: Fetch): boolean {
  const ended = fetch.attempts.every((attempt) => !attempt.pending);
  const noneRan = fetch.attempts.every((attempt) => attempt.notRun);
  return ended && (noneRan || fetch.lastReason === "pool lost");
}
