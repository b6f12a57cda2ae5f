/**
 * Results of calls: rows, refusals and failures, and the decision to retry.
 *
 * @module
 */
import { countOne, step } from "../core/mod.js";
import type { MissingReason, Row } from "../model/mod.js";
import { sendExtraAttempt } from "./attempts.js";
import { chooseTarget, leafKey } from "./candidates.js";
import type { CallResult, EntryEffect } from "./entry_messages.js";
import type { Attempt, EntryState, EntryStep, Fetch } from "./entry_state.js";
import { type FetchStep, removeFetch, unsettled } from "./fetches.js";
import { observeLatency } from "./hedging.js";
import { recordCallOutcome, UNKNOWN_LEAF } from "./leaf_view.js";
import { awaitPool, mayAwaitPool } from "./pool_wait.js";

/**
 * Applies the result of a call.
 *
 * @param state - The entry's state.
 * @param result - The result; it is dropped if the call is not pending.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step, with the fetch that the result settled.
 */
export function applyResult(state: EntryState, result: CallResult, nowMs: number): FetchStep {
  const fetch = state.fetches.get(fetchIdOf(result.callId));
  const attempt = fetch?.attempts.find((each) => each.callId === result.callId);
  if (fetch === undefined || attempt === undefined || !attempt.pending) {
    return unsettled(step<EntryState, EntryEffect>(state, countOne("leaf.late_results")));
  }
  const handler = RESULT_HANDLERS[result.kind];
  return handler(state, result as never, { fetch, attempt, nowMs });
}

/** A call ID consists of the fetch ID and the number of the attempt. */
function fetchIdOf(callId: string): string {
  return callId.slice(0, callId.indexOf("."));
}

interface ResultContext {
  readonly fetch: Fetch;
  readonly attempt: Attempt;
  readonly nowMs: number;
}

type ResultHandlers = {
  readonly [K in CallResult["kind"]]: (
    state: EntryState,
    result: Extract<CallResult, { readonly kind: K }>,
    context: ResultContext,
  ) => FetchStep;
};

const RESULT_HANDLERS: ResultHandlers = {
  answered: onAnswered,
  refused: (state, { reason, retryAfterMs }, context) =>
    endAttempt(reason === "pool lost" ? withoutPool(state, context) : state, {
      ...context,
      reason,
      retryAfterMs,
      notRun: true,
    }),
  failed: (state, { reason }, context) =>
    endAttempt(recordLeafOutcome(state, context, true), {
      ...context,
      reason,
      retryAfterMs: 0,
      notRun: false,
    }),
};

/** A stopping pool refuses calls until its stream ends; it is not called again. */
function withoutPool(state: EntryState, { attempt }: ResultContext): EntryState {
  return { ...state, openPools: state.openPools.delete(attempt.poolId) };
}

function onAnswered(
  state: EntryState,
  result: Extract<CallResult, { readonly kind: "answered" }>,
  context: ResultContext,
): FetchStep {
  const { fetch, attempt, nowMs } = context;
  if (result.snapshot !== fetch.snapshot) {
    return endAttempt(state, {
      ...context,
      reason: "wrong snapshot",
      retryAfterMs: 0,
      notRun: false,
    });
  }
  const rows = result.shard === fetch.shard ? parseRows(result) : undefined;
  if (rows === undefined) {
    const failed = recordLeafOutcome(state, context, true);
    return endAttempt(failed, {
      ...context,
      reason: "malformed answer",
      retryAfterMs: 0,
      notRun: false,
    });
  }
  const observed = observeLatency(recordLeafOutcome(state, context, false), fetch, {
    attempt,
    nowMs,
  });
  const ended = removeFetch(observed, markEnded(fetch, attempt, false));
  return { ...ended, settled: { fetch, outcome: { kind: "included", rows } } };
}

function parseRows(
  result: Extract<CallResult, { readonly kind: "answered" }>,
): ReadonlyArray<Row> | undefined {
  try {
    const rows: unknown = JSON.parse(result.rowsJson);
    const valid =
      Array.isArray(rows) && rows.length === result.rowCount && rows.every((row) => isRow(row));
    return valid ? rows : undefined;
  } catch {
    return undefined;
  }
}

function isRow(row: unknown): row is Row {
  return typeof row === "object" && row !== null && !Array.isArray(row);
}

function recordLeafOutcome(
  state: EntryState,
  { fetch, attempt, nowMs }: ResultContext,
  failed: boolean,
): EntryState {
  const key = leafKey(fetch.service, attempt.leafId);
  const view = state.leafViews.get(key) ?? UNKNOWN_LEAF;
  const updated = recordCallOutcome(view, failed, {
    nowMs,
    mayEject: failed && mayEject(state, fetch, nowMs),
  });
  return updated === view ? state : { ...state, leafViews: state.leafViews.set(key, updated) };
}

/** At most a third of a service's leafs are ejected at a time. */
function mayEject(state: EntryState, { service }: Fetch, nowMs: number): boolean {
  const leafs = state.control.catalog.services.get(service)?.leafs;
  if (leafs === undefined) {
    return false;
  }
  const ejected = [...leafs.keys()].filter((leafId) => {
    return (state.leafViews.get(leafKey(service, leafId))?.ejectedUntilMs ?? 0) > nowMs;
  });
  return ejected.length + 1 <= leafs.size / 3;
}

interface EndAttemptOptions extends ResultContext {
  readonly reason: MissingReason;
  readonly retryAfterMs: number;
  readonly notRun: boolean;
}

function endAttempt(state: EntryState, options: EndAttemptOptions): FetchStep {
  const { attempt, reason, retryAfterMs, notRun, nowMs } = options;
  const fetch: Fetch = {
    ...markEnded(options.fetch, attempt, notRun),
    lastReason: reason,
    lastRetryAfterMs: retryAfterMs,
  };
  const updated = { ...state, fetches: state.fetches.set(fetch.fetchId, fetch) };
  if (fetch.attempts.some((each) => each.pending)) {
    return unsettled(step<EntryState, EntryEffect>(updated));
  }
  const retried = retry(updated, fetch, nowMs);
  if (retried !== undefined) {
    return unsettled(retried);
  }
  const ended = removeFetch(updated, fetch);
  const ran = fetch.attempts.some((each) => !each.notRun);
  return { ...ended, settled: { fetch, outcome: { kind: "lacking", reason, notRun: !ran } } };
}

function markEnded(fetch: Fetch, attempt: Attempt, notRun: boolean): Fetch {
  const attempts = fetch.attempts.map((each) =>
    each.callId === attempt.callId ? { ...each, pending: false, notRun } : each,
  );
  return { ...fetch, attempts };
}

/** Maximum attempts of a fetch whose pools are lost, a bound on the calls that its leafs receive. */
const MAX_ATTEMPTS_WITH_LOST_POOLS = 6;

function retry(state: EntryState, fetch: Fetch, nowMs: number): EntryStep | undefined {
  const mayHaveRun = fetch.attempts.some((attempt) => !attempt.notRun);
  if (!fetch.repeatable && mayHaveRun) {
    return undefined;
  }
  const isPoolLost = fetch.lastReason === "pool lost";
  const mayRetryFreely = isPoolLost && fetch.attempts.length < MAX_ATTEMPTS_WITH_LOST_POOLS;
  if (fetch.retriesLeft <= 0 && !mayRetryFreely) {
    return undefined;
  }
  // The policy limits retries of leafs; the loss of a pool says nothing about its leafs.
  const retriesLeft = mayRetryFreely ? fetch.retriesLeft : fetch.retriesLeft - 1;
  const retrying = { ...fetch, retriesLeft };
  const target = chooseTarget(state, retrying, nowMs);
  if (target === undefined) {
    const awaitsPool = isPoolLost && mayAwaitPool(state, retrying, nowMs);
    return awaitsPool ? awaitPool(state, retrying, nowMs) : undefined;
  }
  const sent = sendExtraAttempt(state, retrying, { ...target, purpose: "retry", nowMs });
  return sent.state === state ? undefined : sent;
}
