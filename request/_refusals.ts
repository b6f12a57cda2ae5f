/**
 * Refuses a query before anything is sent for it, so that it is true that it has not run: where its leafs
 * are overloaded, or too many of its calls will be lost.
 *
 * @module
 */
import {
  findOverload,
  findShortfall,
  type Overload,
  overloadRetryMs,
  type PartsShortfall,
  queueQuantileMs,
} from "../admission/mod.js";
import { type Step, step } from "../core/mod.js";
import { minParts } from "./_completion.js";
import type { CallPlan, DirectCall } from "./_plan.js";
import type { Reply, RequestContext, RequestEffect, RequestState } from "./request_state.js";

type RefusedStep = Step<RequestState, RequestEffect>;

/**
 * Tells the queues at the leafs that a query would be sent to; a request to a single leaf looks at none.
 *
 * @param plan - The first calls.
 * @param state - The request.
 * @param world - Notes the queues, by which the next queries are judged as well.
 * @returns The queues, and the longest wait that the request could bear.
 */
export function queueLoadOf(
  plan: CallPlan,
  { shards, terms }: RequestState,
  world: RequestContext,
): Overload {
  const { maxQueueMs: mostQueueMs } = terms;
  if (terms.route.target.kind !== "gather") {
    return { mostQueueMs, queueMs: 0, standingMs: 0 };
  }
  const queueMs = queueQuantileMs(callsOf(plan).map(({ leaf }) => leaf.queueMs));
  const standingMs = world.noteQueue(shards[0]?.service ?? "", queueMs);
  return { mostQueueMs, queueMs, standingMs };
}

/** What is known of a query that is to begin. */
export interface PlannedQuery {
  readonly plan: CallPlan;
  readonly queueLoad: Overload;
  readonly world: RequestContext;
}

/**
 * Refuses a query that had better not be begun.
 *
 * @param first - The step so far.
 * @param planned - The first calls, the queues they would meet, and what the box knows.
 * @returns The step with the refusal; nothing where the query is to begin.
 */
export function refusePlan(
  first: RefusedStep,
  { plan, queueLoad: waits, world }: PlannedQuery,
): RefusedStep | undefined {
  if (world.calling() === "blocked") {
    return refuse(first, {
      reason: "leafs were lost under it",
      retryAfterMs: world.blockedForMs(),
    });
  }
  if (findOverload(waits) !== undefined) {
    return refuse(first, {
      reason: "leafs are overloaded",
      retryAfterMs: overloadRetryMs(waits),
      overload: waits,
    });
  }
  const shortfall = shortfallOf(plan, first.state, world);
  if (shortfall === undefined) {
    return undefined;
  }
  const reason = "too many parts would be lost";
  return refuse(first, { reason, retryAfterMs: HOPELESS_RETRY_MS, shortfall });
}

/**
 * When a query may come back that was refused for the losses of its leafs, in milliseconds: what is known of
 * losses fades within three seconds, and budgets refill all the while.
 */
const HOPELESS_RETRY_MS = 500;

/** Finds whether so many of the planned calls will come to nothing that the least share is not to be expected. */
function shortfallOf(
  plan: CallPlan,
  { shards, terms }: RequestState,
  world: RequestContext,
): PartsShortfall | undefined {
  const { target } = terms.route;
  if (target.kind !== "gather") {
    return undefined;
  }
  const chances = callsOf(plan).map(({ leaf, shardIndex }) => ({
    failureRate: leaf.failureRate,
    extraCallsLeft: world.extraCallsLeft(shards[shardIndex]?.service ?? ""),
  }));
  return findShortfall(chances, minParts({ shards }, target));
}

function callsOf({ direct, relays }: CallPlan): ReadonlyArray<DirectCall> {
  return [...direct, ...relays.flatMap((relay) => relay.calls)];
}

type NotRun = Omit<Extract<Reply, { readonly kind: "notRun" }>, "kind">;

function refuse({ effects, state }: RefusedStep, notRun: NotRun): RefusedStep {
  const reply: Reply = { kind: "notRun", ...notRun };
  return step({ ...state, done: true }, ...effects, { kind: "reply", reply });
}
