/**
 * Sends the attempts of a request: the first ones, and those for shards that need another.
 *
 * @module
 */
import { forEachStep, type Step, step } from "../core/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import { canReachLeastShare } from "./_judge.js";
import { overloadRetryMs } from "./_overload.js";
import { planCalls, type RelayCall } from "./_plan.js";
import { loseShard, openAttempt } from "./_shards.js";
import type {
  Attempt,
  LeafChoice,
  Reply,
  RequestEffect,
  RequestState,
  RequestWorld,
  ShardState,
} from "./request_state.js";

type AttemptStep = Step<RequestState, RequestEffect>;

/** Share of the aim that a box near the leafs waits at most before it hands over what has come in. */
const RELAY_PATIENCE_AIM_SHARE = 0.3;

/** Least time that an attempt must have before it is worth sending, in milliseconds. */
const LEAST_ATTEMPT_MS = 10;

/**
 * Makes the first calls; a shard's first arrival is no extra call.
 *
 * @param first - The step so far.
 * @param world - The present moment and what the box can choose from.
 * @returns The step with the calls.
 */
export function askFirst(first: AttemptStep, world: RequestWorld): AttemptStep {
  const plan = planCalls(first.state, world);
  const retryAfterMs = overloadRetryMs(plan, first.state.terms);
  if (retryAfterMs !== undefined) {
    return refuseOverloaded(first, retryAfterMs);
  }
  const { direct, relays, unserved } = plan;
  const { nowMs } = world;
  const without = unserved.reduce(loseShard, first.state);
  const { target } = without.terms.route;
  if (target.kind === "gather" && !canReachLeastShare(without, target)) {
    // Nothing is sent, so that the refusal can say that the request has not run.
    return { ...first, state: without };
  }
  const called = forEachStep({ ...first, state: without }, direct, (now, { shardIndex, leaf }) => {
    return sendAttempt(now, { shardIndex, leaf, nowMs });
  });
  return forEachStep(called, relays, (now, relay) => sendRelay(now, relay, nowMs));
}

/** Nothing has been sent, so it is true that the request has not run. */
function refuseOverloaded({ effects, state }: AttemptStep, retryAfterMs: number): AttemptStep {
  const reply: Reply = { kind: "notRun", reason: "leafs are overloaded", retryAfterMs };
  return step({ ...state, done: true }, ...effects, { kind: "reply", reply });
}

function sendRelay(state: RequestState, { box, calls }: RelayCall, nowMs: number): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { expectedMs } = box;
  const attempt: Attempt = { attemptId, asked: box.box, startedAtMs: nowMs, expectedMs };
  const sent = calls.reduce((now, { shardIndex, leaf }) => {
    return openAttempt(now, { shardIndex, attempt, expectedOfBox: leaf.leafId });
  }, state);
  const relayed = calls.map(({ shardIndex, leaf }) => {
    return { service: state.shards[shardIndex]?.service ?? "", leafId: leaf.leafId };
  });
  const { aimAtMs, arrivedAtMs, deadlineAtMs } = state.terms;
  const patienceMs = (aimAtMs - arrivedAtMs) * RELAY_PATIENCE_AIM_SHARE;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "relay", attemptId, box: box.box, calls: relayed, deadlineAtMs, patienceMs },
  );
}

/** A shard that needs another attempt. */
export interface ExtraAsking {
  readonly shardIndex: number;
  readonly world: RequestWorld;
  /** What the call is for; one in place of a call that was never sent is no extra call. */
  readonly kind: ExtraCallKind | "replacement";
}

/**
 * Asks another leaf, if the route, the time left and the budget allow it; else leaves all as is.
 *
 * @param state - The request.
 * @param asking - The shard, and what the call is for.
 * @returns The request after that, and the call.
 */
export function askAgain(
  state: RequestState,
  { shardIndex, world, kind }: ExtraAsking,
): AttemptStep {
  const shard = state.shards[shardIndex];
  const { terms } = state;
  const hasTime = terms.deadlineAtMs - world.nowMs >= LEAST_ATTEMPT_MS;
  if (shard === undefined || shard.runs >= terms.maxAttempts || !hasTime) {
    return step(state);
  }
  const leaf = chooseAnother(shard, world);
  const isInVain = kind === "hedge" && leaf !== undefined && leaf.queueMs > terms.mostQueueMs;
  if (leaf === undefined || isInVain) {
    return step(state);
  }
  if (kind !== "replacement" && !world.takeExtraCall(shard.service, kind)) {
    return step(state);
  }
  return sendAttempt(state, { shardIndex, leaf, nowMs: world.nowMs });
}

/** Picks a leaf that was not asked; at last the one that another box was to ask and may not have. */
function chooseAnother(
  { service, asked, expectedOfBox }: ShardState,
  world: RequestWorld,
): LeafChoice | undefined {
  if (expectedOfBox === undefined) {
    return world.chooseLeaf(service, asked);
  }
  const another = world.chooseLeaf(service, new Set(asked).add(expectedOfBox));
  return another ?? world.chooseLeaf(service, asked);
}

interface SentCall {
  readonly shardIndex: number;
  readonly leaf: LeafChoice;
  readonly nowMs: number;
}

function sendAttempt(state: RequestState, { shardIndex, leaf, nowMs }: SentCall): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { leafId, expectedMs, relayPlace } = leaf;
  const attempt: Attempt = { attemptId, asked: leafId, startedAtMs: nowMs, expectedMs };
  const sent = openAttempt(state, { shardIndex, attempt, askedLeaf: leafId });
  const { deadlineAtMs } = state.terms;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "call", attemptId, shardIndex, leafId, relayPlace, deadlineAtMs },
  );
}
