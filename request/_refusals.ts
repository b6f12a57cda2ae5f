/**
 * Refuses a query before any call is sent, so that the reply may state that it has not run: if its
 * leafs are overloaded, or if too many of its calls are expected to fail.
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
 * Measures the queues at the leafs that a query would be sent to. Requests to a single leaf are not
 * measured.
 *
 * @param plan - The first calls.
 * @param state - The request.
 * @param context - Records the queues for later queries.
 * @returns The expected queueing delays, and the maximum that the request accepts.
 */
export function queueLoadOf(
  plan: CallPlan,
  { shards, terms }: RequestState,
  context: RequestContext,
): Overload {
  const { maxQueueMs: mostQueueMs } = terms;
  if (terms.route.target.kind !== "gather") {
    return { mostQueueMs, queueMs: 0, standingMs: 0 };
  }
  const queueMs = queueQuantileMs(callsOf(plan).map(({ leaf }) => leaf.queueMs));
  const standingMs = context.recordQueue(shards[0]?.service ?? "", queueMs);
  return { mostQueueMs, queueMs, standingMs };
}

/** A planned query that has not been started. */
export interface PlannedQuery {
  readonly plan: CallPlan;
  readonly queueLoad: Overload;
  readonly context: RequestContext;
}

/**
 * Refuses a query that should not be started.
 *
 * @param first - The step so far.
 * @param planned - The first calls, the queues at their leafs, and the decision's context.
 * @returns The step with the refusal, or `undefined` if the query is to be started.
 */
export function refusePlan(
  first: RefusedStep,
  { plan, queueLoad, context }: PlannedQuery,
): RefusedStep | undefined {
  if (context.permission() === "blocked") {
    return refuse(first, {
      reason: "leafs were lost under it",
      retryAfterMs: context.blockedForMs(),
    });
  }
  if (findOverload(queueLoad) !== undefined) {
    return refuse(first, {
      reason: "leafs are overloaded",
      retryAfterMs: overloadRetryMs(queueLoad),
      overload: queueLoad,
    });
  }
  const shortfall = shortfallOf(plan, first.state, context);
  if (shortfall === undefined) {
    return undefined;
  }
  const reason = "too many parts would be lost";
  return refuse(first, { reason, retryAfterMs: INFEASIBLE_RETRY_MS, shortfall });
}

/**
 * Retry delay for a query refused for its leafs' failure rates, in milliseconds. Failure rates
 * decay within three seconds, and the budgets of extra calls refill continuously.
 */
const INFEASIBLE_RETRY_MS = 500;

/**
 * Checks whether so many planned calls are expected to fail that the minimum share is unlikely to
 * be reached.
 */
function shortfallOf(
  plan: CallPlan,
  { shards, terms }: RequestState,
  context: RequestContext,
): PartsShortfall | undefined {
  const { target } = terms.route;
  if (target.kind !== "gather") {
    return undefined;
  }
  const chances = callsOf(plan).map(({ leaf, shardIndex }) => ({
    failureRate: leaf.failureRate,
    extraCallsLeft: context.extraCallsLeft(shards[shardIndex]?.service ?? ""),
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
