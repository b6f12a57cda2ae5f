/**
 * Sends the attempts of a request: the first calls, hedges and retries.
 *
 * @module
 */
import { forEachStep, type Step, step } from "../core/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import { canReachMinShare, openCallsReachMinShare } from "./_completion.js";
import { chooseNextLeaf, isUncalled, MAX_REFUSALS } from "./_next_leaf.js";
import { planCalls, type RelayCall } from "./_plan.js";
import { queueLoadOf, refusePlan } from "./_refusals.js";
import { failShard, openAttempt, updateShard } from "./_shards.js";
import type {
  Attempt,
  ExtraAttemptKind,
  LeafChoice,
  RequestContext,
  RequestEffect,
  RequestState,
} from "./request_state.js";

type AttemptStep = Step<RequestState, RequestEffect>;

/**
 * Fraction of the latency objective for which a relaying box collects parts before it sends what it
 * has.
 */
const RELAY_WAIT_OBJECTIVE_SHARE = 0.2;

/**
 * Allowance for the round trip between regions and for processing in both boxes, in milliseconds.
 * Hedging earlier would duplicate every shard of a relay request.
 */
const RELAY_ROUND_TRIP_MS = 25;

/**
 * Fraction of the latency objective after which the shards of a relay request may be hedged in any
 * case.
 */
const RELAY_HEDGE_OBJECTIVE_SHARE = 0.55;

/** Minimum time to the deadline for which an attempt is still sent, in milliseconds. */
const MIN_ATTEMPT_MS = 10;

/**
 * Sends the first call of each shard. First calls are not charged to the budget of extra calls.
 *
 * @param first - The step so far.
 * @param context - Current time, and the leafs and boxes to choose from.
 * @returns The step with the calls.
 */
export function sendFirstCalls(first: AttemptStep, context: RequestContext): AttemptStep {
  const plan = planCalls(first.state, context);
  const queueLoad = queueLoadOf(plan, first.state, context);
  const refused = refusePlan(first, { plan, queueLoad, context });
  if (refused !== undefined) {
    return refused;
  }
  if (context.permission() !== "unrestricted") {
    return sendFirstCallsSequentially(first, context);
  }
  const congested = queueLoad.queueMs > queueLoad.mostQueueMs;
  const { direct, relays, unserved } = plan;
  const planned = unserved.reduce(failShard, { ...first.state, congested });
  const { target } = planned.terms.route;
  if (target.kind === "gather" && !canReachMinShare(planned, target)) {
    // Nothing has been sent, so the reply may state that the request has not run.
    return { ...first, state: planned };
  }
  const called = forEachStep(
    { ...first, state: planned },
    direct,
    (current, { shardIndex, leaf }) => {
      return sendAttempt(current, { shardIndex, leaf, context, isTrial: false, isFirst: true });
    },
  );
  return forEachStep(called, relays, (current, relay) => sendRelay(current, relay, context));
}

/**
 * Sends the first calls of a suspected query one at a time: the first one if the quarantine permits
 * it now, and the others once they are due. The restriction ends with the first answer.
 */
function sendFirstCallsSequentially(first: AttemptStep, context: RequestContext): AttemptStep {
  return forEachStep(first, first.state.shards.keys(), (current, shardIndex) => {
    return retryOrDefer(current, { shardIndex, context, kind: "replacement" });
  });
}

function sendRelay(
  state: RequestState,
  { box, calls }: RelayCall,
  context: RequestContext,
): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { expectedMs } = box;
  const { objectiveAtMs, arrivedAtMs, deadlineAtMs } = state.terms;
  const objectiveMs = objectiveAtMs - arrivedAtMs;
  const waitLimitMs = objectiveMs * RELAY_WAIT_OBJECTIVE_SHARE;
  const minHedgeDelayMs = Math.min(
    objectiveMs * RELAY_HEDGE_OBJECTIVE_SHARE,
    waitLimitMs + RELAY_ROUND_TRIP_MS,
  );
  const attempt: Attempt = {
    attemptId,
    calledId: box.box,
    ...startTimes(context),
    expectedMs,
    minHedgeDelayMs,
  };
  const sent = calls.reduce((current, { shardIndex, leaf }) => {
    return openAttempt(current, { shardIndex, attempt, expectedRelayLeafId: leaf.leafId });
  }, state);
  const relayed = calls.map(({ shardIndex, leaf }) => {
    return { service: state.shards[shardIndex]?.service ?? "", leafId: leaf.leafId };
  });
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    {
      kind: "relay",
      attemptId,
      box: box.box,
      calls: relayed,
      deadlineAtMs,
      waitLimitMs,
      firstFrameMs: minHedgeDelayMs,
    },
  );
}

/** A further attempt to be sent for a shard. */
export interface ExtraAttempt {
  readonly shardIndex: number;
  readonly context: RequestContext;
  readonly kind: ExtraAttemptKind;
}

/**
 * Fraction of the latency objective after which a deferred attempt is retried. By then the budget
 * may have refilled, and busy or unresponsive leafs may have recovered.
 */
const DEFER_OBJECTIVE_SHARE = 0.15;

/**
 * Sends another attempt for a shard. If none can be sent now and none is open, the attempt is
 * deferred, so that a query with most of its parts does not fail early. A shard that still cannot
 * be called at twice the latency objective fails.
 *
 * @param state - The request.
 * @param extra - The shard, and the purpose of the call.
 * @returns The updated request, with the call if one was made.
 */
export function retryOrDefer(state: RequestState, extra: ExtraAttempt): AttemptStep {
  const { kind, shardIndex, context } = extra;
  const attempted = sendExtraCall(state, extra);
  const shard = attempted.state.shards[shardIndex];
  if (shard === undefined || shard.open.length > 0) {
    return attempted;
  }
  const { objectiveAtMs, arrivedAtMs, maxAttempts, route } = state.terms;
  const objectiveMs = objectiveAtMs - arrivedAtMs;
  const atMs = context.nowMs + objectiveMs * DEFER_OBJECTIVE_SHARE;
  const permission = context.permission();
  const mayDefer =
    (route.target.kind === "gather" || (route.repeatable && permission === "deferred")) &&
    permission !== "blocked" &&
    shard.runs < maxAttempts &&
    shard.refusedBy.length < MAX_REFUSALS &&
    atMs < objectiveAtMs + objectiveMs;
  const updated = mayDefer
    ? updateShard(attempted.state, shardIndex, (current) => ({ ...current, next: { atMs, kind } }))
    : failShard(attempted.state, shardIndex);
  return { ...attempted, state: updated };
}

/**
 * Sends another attempt for a shard if the route, the remaining time and the budget allow it;
 * otherwise returns the request unchanged.
 *
 * @param state - The request.
 * @param extra - The shard, and the purpose of the call.
 * @returns The updated request, with the call if one was made.
 */
export function sendExtraCall(
  state: RequestState,
  { shardIndex, context, kind }: ExtraAttempt,
): AttemptStep {
  const shard = state.shards[shardIndex];
  const { terms } = state;
  const hasTime = terms.deadlineAtMs - context.nowMs >= MIN_ATTEMPT_MS;
  if (shard === undefined || shard.runs >= terms.maxAttempts || !hasTime) {
    return step(state);
  }
  const leaf = chooseNextLeaf(state, shard, context);
  const isHedging = kind === "hedge" || shard.refusedBy.length > 1;
  if (leaf === undefined || (isHedging && wouldLengthenQueues(state, leaf))) {
    return step(state);
  }
  const permission = context.permission();
  if (permission === "deferred" || permission === "blocked") {
    return step(state);
  }
  if (kind !== "replacement" && !context.takeExtraCall(shard.service, chargedKind(state, kind))) {
    return step(state);
  }
  const isTrial = permission === "exclusive";
  return sendAttempt(state, { shardIndex, leaf, context, isTrial, isFirst: isUncalled(shard) });
}

/**
 * Whether a call would only add to queues that are long at most leafs. A long queue at a single
 * leaf is no reason to withhold the call, since the shard would then be missing from the answer.
 */
function wouldLengthenQueues({ congested, terms }: RequestState, { queueMs }: LeafChoice): boolean {
  return congested && queueMs > terms.maxQueueMs;
}

/**
 * Returns the budget that pays for a call. A retry that only makes the answer more complete is
 * charged as a hedge, which leaves part of the budget to requests that would otherwise have no
 * answer.
 */
function chargedKind(state: RequestState, kind: ExtraCallKind): ExtraCallKind {
  return kind === "retry" && openCallsReachMinShare(state) ? "hedge" : kind;
}

interface SentCall {
  readonly shardIndex: number;
  readonly leaf: LeafChoice;
  readonly context: RequestContext;
  readonly isTrial: boolean;
  readonly isFirst: boolean;
}

function sendAttempt(
  state: RequestState,
  { shardIndex, leaf, context, isTrial, isFirst }: SentCall,
): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { leafId, expectedMs } = leaf;
  if (isTrial) {
    context.beginTrial();
  }
  // A relaying box decides by its own quarantine state, so a trial call could not be guaranteed
  // to be the only one.
  const relayPlace = isTrial ? undefined : leaf.relayPlace;
  const attempt: Attempt = {
    attemptId,
    calledId: leafId,
    ...startTimes(context),
    expectedMs,
    minHedgeDelayMs: 0,
  };
  const sent = openAttempt(state, { shardIndex, attempt, calledLeafId: leafId });
  const { deadlineAtMs } = state.terms;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "call", attemptId, shardIndex, leafId, relayPlace, deadlineAtMs, isTrial, isFirst },
  );
}

function startTimes({
  nowMs,
  eventLoopIdleMs,
}: RequestContext): Pick<Attempt, "startedAtMs" | "startedAtIdleMs"> {
  return { startedAtMs: nowMs, startedAtIdleMs: eventLoopIdleMs };
}
