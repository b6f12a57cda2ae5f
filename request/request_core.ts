/**
 * Decides what is done for one request, from its arrival to its reply. Pure: time and choices are
 * inputs, and effects are returned.
 *
 * @module
 */
import { andThen, forEachStep, type Step, step } from "../core/mod.js";
import { retryOrDefer, sendExtraCall, sendFirstCalls } from "./_attempts.js";
import { replyAtDeadline, replyAtObjective, replyIfDecided, replyLate } from "./_completion.js";
import { applyOutcome } from "./_outcomes.js";
import { applyRelayedParts } from "./_relayed_parts.js";
import { batchRemoteCalls } from "./_remote_calls.js";
import { isSettled, openAttemptsOf, shardsOf } from "./_shards.js";
import { failedPartOutcome } from "./failed_part.js";
import type {
  RequestContext,
  RequestEffect,
  RequestEvent,
  RequestState,
  RequestTerms,
  RequestTimer,
  ShardState,
} from "./request_state.js";

/** A request after an event, and the effects to perform. */
export type RequestStep = Step<RequestState, RequestEffect>;

/**
 * Fraction of the latency objective after which an unanswered shard is hedged. Hedging earlier adds
 * more load than it saves time.
 */
const HEDGE_OBJECTIVE_SHARE = 0.4;

/**
 * A shard is hedged only after this multiple of the first call's expected time, so that calls to
 * slow leafs are not duplicated routinely.
 */
const HEDGE_EXPECTED_FACTOR = 1.7;

/**
 * Fraction of the latency objective after which a shard is hedged whatever the expected time of its
 * first call.
 */
const HEDGE_LATEST_OBJECTIVE_SHARE = 0.5;

/** Fraction of the latency objective after which a hedge that the budget refused is tried again. */
const HEDGE_RETRY_OBJECTIVE_SHARE = 0.25;

/**
 * Creates the state of a request.
 *
 * @param terms - The request.
 * @param services - The service of each shard.
 * @returns The state before anything was sent.
 */
export function newRequest(terms: RequestTerms, services: ReadonlyArray<string>): RequestState {
  return {
    terms,
    shards: services.map((service) => ({
      service,
      calledLeafIds: new Set(),
      refusedBy: [],
      expectedRelayLeafId: undefined,
      runs: 0,
      open: [],
      part: undefined,
      next: undefined,
      relayed: false,
      errorAnswer: undefined,
      failed: false,
    })),
    partsIn: 0,
    partsLost: 0,
    relayed: [],
    nextAttemptId: 1,
    congested: false,
    pastObjective: false,
    awaitsLateReply: false,
    done: false,
  };
}

/**
 * Handles one event.
 *
 * @param state - The request so far.
 * @param event - The event.
 * @param context - Current time, and the leafs and boxes to choose from.
 * @returns The updated request, and the effects to perform.
 */
export function stepRequest(
  state: RequestState,
  event: RequestEvent,
  context: RequestContext,
): RequestStep {
  if (state.done) {
    return step(state);
  }
  const handler = EVENT_HANDLERS[event.kind] as EventHandler<RequestEvent>;
  return handler(state, event, context);
}

function unchanged(state: RequestState): RequestStep {
  return step(state);
}

type EventHandler<Event> = (
  state: RequestState,
  event: Event,
  context: RequestContext,
) => RequestStep;

const EVENT_HANDLERS: {
  readonly [K in RequestEvent["kind"]]: EventHandler<Extract<RequestEvent, { readonly kind: K }>>;
} = {
  started: (state, _event, context) => {
    const called = sendFirstCalls(setFirstTimers(state), context);
    return andThen(
      andThen(called, (current) => setHedgeTimer(current, context)),
      (current) => replyIfDecided(current, context.nowMs),
    );
  },
  attemptEnded: (state, { attemptId, outcome, shardIndex: onlyShard }, context) => {
    const shards = onlyShard === undefined ? shardsOf(state, attemptId) : [onlyShard];
    const ended = forEachStep(unchanged(state), shards, (current, shardIndex) => {
      return applyOutcome(current, { shardIndex, attemptId, outcome, context });
    });
    return replyAfterCalls(ended, context);
  },
  partsRelayed: (state, { attemptId, parts }, context) => {
    const applied = applyRelayedParts(state, parts);
    const called = forEachStep(
      unchanged(applied),
      shardsOf(applied, attemptId),
      (current, shardIndex) => {
        const reason = parts.failed.get(current.shards[shardIndex]?.service ?? "");
        if (reason === undefined) {
          return step(current);
        }
        const outcome = failedPartOutcome(reason);
        return applyOutcome(current, { shardIndex, attemptId, outcome, context });
      },
    );
    return replyAfterCalls(called, context);
  },
  timer: (state, { timer }, context) => TIMER_HANDLERS[timer](state, context),
  callerGone: (state) => step({ ...state, done: true }, ...abandonAll(state)),
};

/**
 * Replies, if possible, after an attempt has ended. The hedge timer is set again only if calls were
 * made or deferred.
 */
function replyAfterCalls(handled: RequestStep, context: RequestContext): RequestStep {
  const hasDeferred = handled.state.shards.some(({ next }) => next !== undefined);
  if (handled.effects.length === 0 && !hasDeferred) {
    return replyIfDecided(handled.state, context.nowMs);
  }
  const called = andThen(batchRemoteCalls(handled, context), (current) =>
    setHedgeTimer(current, context),
  );
  return andThen(called, (current) => replyIfDecided(current, context.nowMs));
}

type TimerHandler = (state: RequestState, context: RequestContext) => RequestStep;

const TIMER_HANDLERS: Readonly<Record<RequestTimer, TimerHandler>> = {
  hedge: (state, context) => {
    const hedged = forEachStep(unchanged(state), state.shards.keys(), (current, shardIndex) => {
      const shard = current.shards[shardIndex];
      if (shard === undefined || nextAttemptAtMs(current, shard, context) > context.nowMs) {
        return step(current);
      }
      return shard.next === undefined
        ? sendExtraCall(current, { shardIndex, context, kind: "hedge" })
        : retryOrDefer(current, { shardIndex, context, kind: shard.next.kind });
    });
    const called = batchRemoteCalls(hedged, context);
    const timed = andThen(called, (current) => setHedgeTimer(current, context, { isRetry: true }));
    return andThen(timed, (current) => replyIfDecided(current, context.nowMs));
  },
  objective: (state, { nowMs }) => replyAtObjective(state, nowMs),
  lateReply: replyLate,
  deadline: (state) => replyAtDeadline(state),
};

function setFirstTimers(state: RequestState): RequestStep {
  const { objectiveAtMs, deadlineAtMs, route } = state.terms;
  const deadline: RequestEffect = { kind: "wake", timer: "deadline", atMs: deadlineAtMs };
  const objective: RequestEffect = { kind: "wake", timer: "objective", atMs: objectiveAtMs };
  return route.target.kind === "gather" ? step(state, deadline, objective) : step(state, deadline);
}

/**
 * Fraction of the hedge delay for which the event loop must have been idle. While this process is
 * stalled, an answer may have arrived without having been read.
 */
const MIN_IDLE_DELAY_SHARE = 0.35;

/** Time at which a shard may be called again; infinite if it is settled or two calls are open. */
function nextAttemptAtMs(
  { terms }: RequestState,
  shard: ShardState,
  { nowMs, eventLoopIdleMs }: RequestContext,
): number {
  if (shard.next !== undefined && !isSettled(shard)) {
    return shard.next.atMs;
  }
  const [onlyAttempt] = shard.open;
  if (isSettled(shard) || onlyAttempt === undefined || shard.open.length > 1) {
    return Number.POSITIVE_INFINITY;
  }
  const objectiveMs = terms.objectiveAtMs - terms.arrivedAtMs;
  const preferredMs = Math.max(
    objectiveMs * HEDGE_OBJECTIVE_SHARE,
    onlyAttempt.expectedMs * HEDGE_EXPECTED_FACTOR,
  );
  const delayMs = Math.max(
    onlyAttempt.minHedgeDelayMs,
    Math.min(objectiveMs * HEDGE_LATEST_OBJECTIVE_SHARE, preferredMs),
  );
  const remainingMs =
    delayMs * MIN_IDLE_DELAY_SHARE - (eventLoopIdleMs - onlyAttempt.startedAtIdleMs);
  return Math.max(onlyAttempt.startedAtMs + delayMs, nowMs + remainingMs);
}

/**
 * Sets the timer for the next shard to become due for a hedge. After a hedge timer (`isRetry`),
 * shards that were due but could not be called are tried again later, as budgets refill.
 */
function setHedgeTimer(
  state: RequestState,
  context: RequestContext,
  { isRetry = false }: { readonly isRetry?: boolean } = {},
): RequestStep {
  const { nowMs } = context;
  const { objectiveAtMs, arrivedAtMs, deadlineAtMs, maxAttempts, route } = state.terms;
  if (state.done || !route.repeatable) {
    return step(state);
  }
  const retryAtMs = nowMs + (objectiveAtMs - arrivedAtMs) * HEDGE_RETRY_OBJECTIVE_SHARE;
  const next = state.shards
    .filter(({ runs }) => runs < maxAttempts)
    .map((shard) => nextAttemptAtMs(state, shard, context))
    .map((atMs) => (isRetry && atMs <= nowMs ? retryAtMs : atMs))
    .filter((atMs) => atMs > nowMs && atMs < deadlineAtMs);
  return next.length === 0
    ? step(state)
    : step(state, { kind: "wake", timer: "hedge", atMs: Math.min(...next) });
}

function abandonAll(state: RequestState): ReadonlyArray<RequestEffect> {
  return openAttemptsOf(state).map((attemptId) => ({ kind: "abandon", attemptId }));
}
