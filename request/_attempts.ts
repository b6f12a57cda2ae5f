/**
 * Sends the attempts of a request: the first ones, and those for shards that need another.
 *
 * @module
 */
import { forEachStep, type Step, step } from "../core/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import { canReachMinShare, openCallsReachMinShare } from "./_completion.js";
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
  ShardState,
} from "./request_state.js";

type AttemptStep = Step<RequestState, RequestEffect>;

/**
 * Share of the aim that a box near the leafs waits at most before it hands over what has come in. With 0.3
 * the parts of urgent queries came in after their shards had been asked again: 0.147 second calls a
 * shard, 0.120 with 0.2 (600 queries each).
 */
const RELAY_PATIENCE_AIM_SHARE = 0.2;

/**
 * Time that an order takes there and back beside the patience of the box, in milliseconds: 16 for the way
 * between regions, the rest for both boxes' work. Asked again before, all shards of an order were asked
 * twice just as their parts came in: 0.145 second calls a shard of urgent queries, 0.121 with it.
 */
const RELAY_WAY_MS = 25;

/** Share of the aim by which the shards of an order are asked again whatever the way takes. */
const RELAY_LATEST_AIM_SHARE = 0.55;

/** Least time that an attempt must have before it is worth sending, in milliseconds. */
const LEAST_ATTEMPT_MS = 10;

/**
 * Makes the first calls; a shard's first arrival is no extra call.
 *
 * @param first - The step so far.
 * @param world - The present moment and what the box can choose from.
 * @returns The step with the calls.
 */
export function sendFirstCalls(first: AttemptStep, world: RequestContext): AttemptStep {
  const plan = planCalls(first.state, world);
  const waits = queueLoadOf(plan, first.state, world);
  const refused = refusePlan(first, { plan, queueLoad: waits, world });
  if (refused !== undefined) {
    return refused;
  }
  if (world.calling() !== "unrestricted") {
    return askOneByOne(first, world);
  }
  const crowded = waits.queueMs > waits.mostQueueMs;
  const { direct, relays, unserved } = plan;
  const without = unserved.reduce(failShard, { ...first.state, congested: crowded });
  const { target } = without.terms.route;
  if (target.kind === "gather" && !canReachMinShare(without, target)) {
    // Nothing is sent, so that the refusal can say that the request has not run.
    return { ...first, state: without };
  }
  const called = forEachStep({ ...first, state: without }, direct, (now, { shardIndex, leaf }) => {
    return sendAttempt(now, { shardIndex, leaf, world, isTrial: false });
  });
  return forEachStep(called, relays, (now, relay) => sendRelay(now, relay, world));
}

/**
 * Lets all shards wait for their turn, of which there is one at a time: leafs were lost under the query.
 * The first answer makes it one like any other.
 */
function askOneByOne(first: AttemptStep, world: RequestContext): AttemptStep {
  return forEachStep(first, first.state.shards.keys(), (now, shardIndex) => {
    return retryOrDefer(now, { shardIndex, world, kind: "replacement" });
  });
}

function sendRelay(
  state: RequestState,
  { box, calls }: RelayCall,
  world: RequestContext,
): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { expectedMs } = box;
  const { objectiveAtMs: aimAtMs, arrivedAtMs, deadlineAtMs } = state.terms;
  const aimMs = aimAtMs - arrivedAtMs;
  const waitLimitMs = aimMs * RELAY_PATIENCE_AIM_SHARE;
  const leastMs = Math.min(aimMs * RELAY_LATEST_AIM_SHARE, waitLimitMs + RELAY_WAY_MS);
  const attempt: Attempt = {
    attemptId,
    calledId: box.box,
    ...startOf(world),
    expectedMs,
    minHedgeDelayMs: leastMs,
  };
  const sent = calls.reduce((now, { shardIndex, leaf }) => {
    return openAttempt(now, { shardIndex, attempt, expectedRelayLeafId: leaf.leafId });
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
      waitLimitMs: waitLimitMs,
    },
  );
}

/** A shard that needs another attempt. */
export interface ExtraAttempt {
  readonly shardIndex: number;
  readonly world: RequestContext;
  readonly kind: ExtraAttemptKind;
}

/**
 * Share of the aim after which a shard is asked again that could not be at once: budgets fill up, and
 * leafs that were full or silent may have an answer by then.
 */
const NEXT_AIM_SHARE = 0.15;

/**
 * Asks another leaf. Where none can be asked at this moment and none is under way, the shard waits for
 * its next turn, so that a query with most of its parts in is not given up at once: after a restart 35
 * of 122 searches of two seconds failed within 80 to 390 ms for three such shards of 20. One that still
 * has no turn twice the aim after its arrival is lost.
 *
 * @param state - The request.
 * @param asking - The shard, and what the call is for.
 * @returns The request after that, and the call where it was made.
 */
export function retryOrDefer(state: RequestState, asking: ExtraAttempt): AttemptStep {
  const { kind, shardIndex, world } = asking;
  const asked = sendExtraCall(state, asking);
  const shard = asked.state.shards[shardIndex];
  if (shard === undefined || shard.open.length > 0) {
    return asked;
  }
  const { objectiveAtMs: aimAtMs, arrivedAtMs, maxAttempts, route } = state.terms;
  const aimMs = aimAtMs - arrivedAtMs;
  const atMs = world.nowMs + aimMs * NEXT_AIM_SHARE;
  const calling = world.calling();
  const mayWait =
    (route.target.kind === "gather" || (route.repeatable && calling === "deferred")) &&
    calling !== "blocked" &&
    shard.runs < maxAttempts &&
    shard.refusedBy.length < MOST_REFUSALS &&
    atMs < aimAtMs + aimMs;
  const waiting = mayWait
    ? updateShard(asked.state, shardIndex, (now) => ({ ...now, next: { atMs, kind } }))
    : failShard(asked.state, shardIndex);
  return { ...asked, state: waiting };
}

/**
 * Asks another leaf, if the route, the time left and the budget allow it; else leaves all as is.
 *
 * @param state - The request.
 * @param asking - The shard, and what the call is for.
 * @returns The request after that, and the call.
 */
export function sendExtraCall(
  state: RequestState,
  { shardIndex, world, kind }: ExtraAttempt,
): AttemptStep {
  const shard = state.shards[shardIndex];
  const { terms } = state;
  const hasTime = terms.deadlineAtMs - world.nowMs >= LEAST_ATTEMPT_MS;
  if (shard === undefined || shard.runs >= terms.maxAttempts || !hasTime) {
    return step(state);
  }
  const leaf = chooseAnother(shard, world) ?? chooseRefusing(state, shard, world);
  const isForTime = kind === "hedge" || shard.refusedBy.length > 1;
  if (leaf === undefined || (isForTime && isInVain(state, leaf))) {
    return step(state);
  }
  const calling = world.calling();
  if (calling === "deferred" || calling === "blocked") {
    return step(state);
  }
  if (kind !== "replacement" && !world.takeExtraCall(shard.service, budgetKind(state, kind))) {
    return step(state);
  }
  return sendAttempt(state, { shardIndex, leaf, world, isTrial: calling === "exclusive" });
}

/**
 * Whether a second call would only lengthen queues that are long all over. Where they are not, one leaf's
 * queue is no reason: of a shard whose leafs are held by long lookups half of the queries had no second
 * call for it and lacked it.
 */
function isInVain({ congested: crowded, terms }: RequestState, { queueMs }: LeafChoice): boolean {
  return crowded && queueMs > terms.maxQueueMs;
}

/**
 * A retry that only makes an answer more complete leaves to others what hedges must leave over as well:
 * those that would have no answer at all.
 */
function budgetKind(state: RequestState, kind: ExtraCallKind): ExtraCallKind {
  return kind === "retry" && openCallsReachMinShare(state) ? "hedge" : kind;
}

/**
 * Refusals of a shard after which leafs that refused are not asked again. Leafs that refuse nearly half
 * of their calls at random have answered by then in 19 of 20 cases.
 */
const MOST_REFUSALS = 4;

/** Picks a leaf that was not asked; at last the one that another box was to ask and may not have. */
function chooseAnother(
  { service, calledLeafIds: asked, expectedRelayLeafId: expectedOfBox }: ShardState,
  world: RequestContext,
): LeafChoice | undefined {
  if (expectedOfBox === undefined) {
    return world.chooseLeaf(service, asked);
  }
  const another = world.chooseLeaf(service, new Set(asked).add(expectedOfBox));
  return another ?? world.chooseLeaf(service, asked);
}

/**
 * Picks a leaf that refused, where no other is left: without the shard the work of all others may be in
 * vain. A request to a single leaf is refused at once, as nothing has run for it.
 */
function chooseRefusing(
  { terms }: RequestState,
  { calledLeafIds: asked, refusedBy, service }: ShardState,
  world: RequestContext,
): LeafChoice | undefined {
  const isTooOften = refusedBy.length === 0 || refusedBy.length >= MOST_REFUSALS;
  if (isTooOften || terms.route.target.kind !== "gather") {
    return undefined;
  }
  const answering = [...asked].filter((leafId) => !refusedBy.includes(leafId));
  return world.chooseLeaf(service, new Set(answering));
}

interface SentCall {
  readonly shardIndex: number;
  readonly leaf: LeafChoice;
  readonly world: RequestContext;
  readonly isTrial: boolean;
}

function sendAttempt(
  state: RequestState,
  { shardIndex, leaf, world, isTrial }: SentCall,
): AttemptStep {
  const attemptId = state.nextAttemptId;
  const { leafId, expectedMs } = leaf;
  if (isTrial) {
    world.beginTrial();
  }
  // Another box would send it by its own belief, and the trial would not be known to be the only call.
  const relayPlace = isTrial ? undefined : leaf.relayPlace;
  const attempt: Attempt = {
    attemptId,
    calledId: leafId,
    ...startOf(world),
    expectedMs,
    minHedgeDelayMs: 0,
  };
  const sent = openAttempt(state, { shardIndex, attempt, calledLeafId: leafId });
  const { deadlineAtMs } = state.terms;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "call", attemptId, shardIndex, leafId, relayPlace, deadlineAtMs, isTrial },
  );
}

function startOf({
  nowMs,
  eventLoopIdleMs: waitedMs,
}: RequestContext): Pick<Attempt, "startedAtMs" | "startedAtWaitedMs"> {
  return { startedAtMs: nowMs, startedAtWaitedMs: waitedMs };
}
