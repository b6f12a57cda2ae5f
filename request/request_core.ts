/**
 * Decides what is done for one request, from its arrival to its answer. Pure: moments and choices
 * come in, effects go out.
 *
 * @module
 */
import { andThen, forEachStep, type Step, step } from "../core/mod.js";
import { retryOrDefer, sendExtraCall, sendFirstCalls } from "./_attempts.js";
import { replyAtDeadline, replyIfDecided } from "./_completion.js";
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

/** A request after an event, and what is to be done for it. */
export type RequestStep = Step<RequestState, RequestEffect>;

/**
 * Share of the aim after which an unanswered shard is asked a second time. Leafs pause for 150 to 250 ms
 * every few seconds; the share of parts that come in time, squared, is 0.80 without second calls and 0.96
 * with them. Sooner costs more by load than it saves: with 0.3 urgent queries fall from 0.933 to 0.923
 * (mean over 600 queries).
 */
const HEDGE_AIM_SHARE = 0.4;

/**
 * A shard is asked a second time only once the first call took this many times its expected time, so that
 * calls to slow leafs are not all doubled.
 */
const HEDGE_EXPECTED_FACTOR = 1.7;

/** Share of the aim by which it is asked whatever the first call usually takes: later is too late. */
const HEDGE_LATEST_AIM_SHARE = 0.5;

/** Share of the aim after which a second call that the budget refused is asked for again. */
const HEDGE_RETRY_AIM_SHARE = 0.25;

/**
 * Starts the state of a request.
 *
 * @param terms - The request.
 * @param services - One service for each shard.
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
    done: false,
  };
}

/**
 * Takes one event.
 *
 * @param state - The request so far.
 * @param event - What happened.
 * @param world - The present moment and what the box can choose from.
 * @returns The request after that, and what is to be done.
 */
export function stepRequest(
  state: RequestState,
  event: RequestEvent,
  world: RequestContext,
): RequestStep {
  if (state.done) {
    return step(state);
  }
  const handler = EVENT_HANDLERS[event.kind] as EventHandler<RequestEvent>;
  return handler(state, event, world);
}

function unchanged(state: RequestState): RequestStep {
  return step(state);
}

type EventHandler<Event> = (
  state: RequestState,
  event: Event,
  world: RequestContext,
) => RequestStep;

const EVENT_HANDLERS: {
  readonly [K in RequestEvent["kind"]]: EventHandler<Extract<RequestEvent, { readonly kind: K }>>;
} = {
  started: (state, _event, world) => {
    const asked = sendFirstCalls(setFirstTimers(state), world);
    return andThen(
      andThen(asked, (now) => wakeForHedge(now, world)),
      replyIfDecided,
    );
  },
  attemptEnded: (state, { attemptId, outcome, shardIndex: only }, world) => {
    const shards = only === undefined ? shardsOf(state, attemptId) : [only];
    const ended = forEachStep(unchanged(state), shards, (now, shardIndex) => {
      return applyOutcome(now, { shardIndex, attemptId, outcome, world });
    });
    return judgeAfterCalls(ended, world);
  },
  partsRelayed: (state, { attemptId, parts }, world) => {
    const taken = applyRelayedParts(state, parts);
    const asked = forEachStep(unchanged(taken), shardsOf(taken, attemptId), (now, shardIndex) => {
      const why = parts.failed.get(now.shards[shardIndex]?.service ?? "");
      if (why === undefined) {
        return step(now);
      }
      const outcome = failedPartOutcome(why);
      return applyOutcome(now, { shardIndex, attemptId, outcome, world });
    });
    return judgeAfterCalls(asked, world);
  },
  timer: (state, { timer }, world) => TIMER_HANDLERS[timer](state, world),
  callerGone: (state) => step({ ...state, done: true }, ...abandonAll(state)),
};

/** Judges after an attempt's end. The timer stands as it is unless calls were made that may need another. */
function judgeAfterCalls(made: RequestStep, world: RequestContext): RequestStep {
  const isWaiting = made.state.shards.some(({ next }) => next !== undefined);
  if (made.effects.length === 0 && !isWaiting) {
    return replyIfDecided(made.state);
  }
  const called = andThen(batchRemoteCalls(made, world), (now) => wakeForHedge(now, world));
  return andThen(called, replyIfDecided);
}

type TimerHandler = (state: RequestState, world: RequestContext) => RequestStep;

const TIMER_HANDLERS: Readonly<Record<RequestTimer, TimerHandler>> = {
  hedge: (state, world) => {
    const hedged = forEachStep(unchanged(state), state.shards.keys(), (now, shardIndex) => {
      const shard = now.shards[shardIndex];
      if (shard === undefined || askingAtMs(now, shard, world) > world.nowMs) {
        return step(now);
      }
      return shard.next === undefined
        ? sendExtraCall(now, { shardIndex, world, kind: "hedge" })
        : retryOrDefer(now, { shardIndex, world, kind: shard.next.kind });
    });
    const called = batchRemoteCalls(hedged, world);
    const woken = andThen(called, (now) => wakeForHedge(now, world, { isRetry: true }));
    return andThen(woken, replyIfDecided);
  },
  aim: (state) => replyIfDecided({ ...state, pastObjective: true }),
  deadline: (state) => replyAtDeadline(state),
};

function setFirstTimers(state: RequestState): RequestStep {
  const { objectiveAtMs: aimAtMs, deadlineAtMs, route } = state.terms;
  const deadline: RequestEffect = { kind: "wake", timer: "deadline", atMs: deadlineAtMs };
  const aim: RequestEffect = { kind: "wake", timer: "aim", atMs: aimAtMs };
  return route.target.kind === "gather" ? step(state, deadline, aim) : step(state, deadline);
}

/**
 * Share of the time that a call has before its shard is asked again for which the box itself must have
 * waited: while it is busy, as after a start, the answer may have come and not been read.
 */
const LEAST_WAITED_SHARE = 0.35;

/** Moment at which a shard may be asked again; never where it is answered or two calls are under way. */
function askingAtMs(
  { terms }: RequestState,
  shard: ShardState,
  { nowMs, eventLoopIdleMs: waitedMs }: RequestContext,
): number {
  if (shard.next !== undefined && !isSettled(shard)) {
    return shard.next.atMs;
  }
  const [only] = shard.open;
  if (isSettled(shard) || only === undefined || shard.open.length > 1) {
    return Number.POSITIVE_INFINITY;
  }
  const aimMs = terms.objectiveAtMs - terms.arrivedAtMs;
  const usualMs = Math.max(aimMs * HEDGE_AIM_SHARE, only.expectedMs * HEDGE_EXPECTED_FACTOR);
  const delayMs = Math.max(only.minHedgeDelayMs, Math.min(aimMs * HEDGE_LATEST_AIM_SHARE, usualMs));
  const unwaitedMs = delayMs * LEAST_WAITED_SHARE - (waitedMs - only.startedAtWaitedMs);
  return Math.max(only.startedAtMs + delayMs, nowMs + unwaitedMs);
}

/**
 * Sets the timer for the next shard that will have waited long enough. After a timer, shards that were
 * due and could not be asked again are tried once more a little later, as budgets fill up.
 */
function wakeForHedge(
  state: RequestState,
  world: RequestContext,
  { isRetry = false }: { readonly isRetry?: boolean } = {},
): RequestStep {
  const { nowMs } = world;
  const { objectiveAtMs: aimAtMs, arrivedAtMs, deadlineAtMs, maxAttempts, route } = state.terms;
  if (state.done || !route.repeatable) {
    return step(state);
  }
  const retryAtMs = nowMs + (aimAtMs - arrivedAtMs) * HEDGE_RETRY_AIM_SHARE;
  const next = state.shards
    .filter(({ runs }) => runs < maxAttempts)
    .map((shard) => askingAtMs(state, shard, world))
    .map((atMs) => (isRetry && atMs <= nowMs ? retryAtMs : atMs))
    .filter((atMs) => atMs > nowMs && atMs < deadlineAtMs);
  return next.length === 0
    ? step(state)
    : step(state, { kind: "wake", timer: "hedge", atMs: Math.min(...next) });
}

function abandonAll(state: RequestState): ReadonlyArray<RequestEffect> {
  return openAttemptsOf(state).map((attemptId) => ({ kind: "abandon", attemptId }));
}
