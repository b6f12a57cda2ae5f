/**
 * Decides whether a request can be answered, and builds its reply.
 *
 * @module
 */
import { type Step, step } from "../core/mod.js";
import type { GatherTarget } from "../routing/mod.js";
import { openAttemptsOf } from "./_shards.js";
import { mergeRecords } from "./record_merge.js";
import type { Reply, RequestEffect, RequestState } from "./request_state.js";

/**
 * Retry delay for a request that could not be sent to any leaf, in milliseconds. Leaf entries that
 * expired while the store was unreachable reappear within two seconds.
 */
const NO_LEAF_RETRY_MS = 500;

type ReplyStep = Step<RequestState, RequestEffect>;

/**
 * Fraction of the latency objective for which an answer that reaches the minimum share only after
 * its objective waits for further parts. What delayed one part has often delayed others, which
 * then arrive at almost the same time.
 */
const LATE_REPLY_OBJECTIVE_SHARE = 0.05;

/**
 * Replies to a request if waiting cannot improve the answer: all shards are settled, the minimum
 * share of parts can no longer be reached, or it has been reached and `finishShare` of the parts
 * has been received. After the latency objective, the minimum share suffices; the reply is then
 * sent after a short wait for further parts.
 *
 * @param state - The request so far.
 * @param nowMs - Current time, in milliseconds.
 * @returns The request, with its reply or the wait for it if there is one.
 */
export function replyIfDecided(state: RequestState, nowMs: number): ReplyStep {
  if (state.done) {
    return step(state);
  }
  const settled = state.partsIn + state.partsLost === state.shards.length;
  const { target } = state.terms.route;
  const infeasible = target.kind === "gather" && !canReachMinShare(state, target);
  const hasShare = target.kind === "gather" && hasMinShare(state, target);
  const suffices = hasShare && state.partsIn >= state.terms.finishShare * state.shards.length;
  if (settled || infeasible || suffices) {
    return finish(state, finalReply(state));
  }
  return hasShare && state.pastObjective ? awaitLateReply(state, nowMs) : step(state);
}

/**
 * Replies to a request at its latency objective if the minimum share of parts has been received. If
 * this process was stalled, the reply is late already and waits for parts that have not been read.
 *
 * @param state - The request so far.
 * @param nowMs - Current time, in milliseconds.
 * @returns The request, with its reply or the wait for it if there is one.
 */
export function replyAtObjective(state: RequestState, nowMs: number): ReplyStep {
  const { target } = state.terms.route;
  const past = { ...state, pastObjective: true };
  if (target.kind !== "gather" || !hasMinShare(state, target)) {
    return step(past);
  }
  const isLate = nowMs > state.terms.objectiveAtMs + lateReplyWaitMs(state);
  return isLate ? awaitLateReply(past, nowMs) : finish(past, finalReply(past));
}

function lateReplyWaitMs({ terms }: RequestState): number {
  return (terms.objectiveAtMs - terms.arrivedAtMs) * LATE_REPLY_OBJECTIVE_SHARE;
}

/** Starts the wait for further parts, once. */
function awaitLateReply(state: RequestState, nowMs: number): ReplyStep {
  if (state.awaitsLateReply) {
    return step(state);
  }
  return step<RequestState, RequestEffect>(
    { ...state, awaitsLateReply: true },
    { kind: "wake", timer: "lateReply", atMs: nowMs + lateReplyWaitMs(state) },
  );
}

/**
 * Replies to a request with the parts received by the end of the wait for further ones.
 *
 * @param state - The request so far.
 * @returns The request with its reply.
 */
export function replyLate(state: RequestState): ReplyStep {
  return finish(state, finalReply(state));
}

/**
 * Replies to a request at its deadline with the parts received so far.
 *
 * @param state - The request so far.
 * @returns The request with its reply.
 */
export function replyAtDeadline(state: RequestState): ReplyStep {
  return finish(state, finalReply(state, { isAtDeadline: true }));
}

/**
 * Ends a request. Calls that have been sent are left to complete, because aborting one would close
 * its connection. Calls that still wait for a connection are withdrawn.
 */
function finish(state: RequestState, reply: Reply): ReplyStep {
  const withdrawals = openAttemptsOf(state).map((attemptId): RequestEffect => {
    return { kind: "withdraw", attemptId };
  });
  return step<RequestState, RequestEffect>(
    { ...state, done: true },
    { kind: "reply", reply },
    ...withdrawals,
  );
}

function finalReply(
  state: RequestState,
  { isAtDeadline = false }: { readonly isAtDeadline?: boolean } = {},
): Reply {
  const { target } = state.terms.route;
  if (target.kind === "gather") {
    return hasMinShare(state, target)
      ? mergedReply(state, target)
      : failureReply(state, isAtDeadline);
  }
  const shard = state.shards[0];
  const answer = shard?.part ?? shard?.errorAnswer;
  return answer === undefined ? failureReply(state, isAtDeadline) : passedReply(answer);
}

function passedReply(answer: NonNullable<RequestState["shards"][number]["part"]>): Reply {
  const isSuccess = answer.statusCode >= 200 && answer.statusCode < 300;
  return isSuccess && answer.signature === ""
    ? { kind: "failed", reason: "leafs failed" }
    : { kind: "passed", answer };
}

function mergedReply(state: RequestState, target: GatherTarget): Reply {
  const parts = state.shards.flatMap(({ part, relayed }) => {
    return part === undefined || relayed ? [] : [part];
  });
  const records = [
    ...parts.map(({ body }) => body),
    ...state.relayed.map((relayed) => relayed.records),
  ];
  const signatures = [
    ...parts.map(({ signature }) => signature),
    ...state.relayed.flatMap((relayed) => [...relayed.signatures.values()]),
  ];
  return {
    kind: "merged",
    records: mergeRecords(records, { topRecords: target.topRecords }),
    signatures,
    missingParts: state.shards.length - signatures.length,
  };
}

function failureReply(state: RequestState, isAtDeadline: boolean): Reply {
  const mayHaveRun = state.shards.some(({ runs }) => runs > 0);
  if (!mayHaveRun) {
    return { kind: "notRun", reason: "no leaf can be asked", retryAfterMs: NO_LEAF_RETRY_MS };
  }
  return { kind: "failed", reason: isAtDeadline ? "deadline" : "leafs failed" };
}

function hasMinShare(state: RequestState, target: GatherTarget): boolean {
  return state.partsIn > 0 && state.partsIn >= minParts(state, target);
}

/**
 * Returns whether a gathered request can still succeed.
 *
 * @param state - The request.
 * @param target - The shards and the minimum share of parts.
 * @returns Whether enough shards have not failed.
 */
export function canReachMinShare(state: RequestState, target: GatherTarget): boolean {
  return state.shards.length - state.partsLost >= Math.max(1, minParts(state, target));
}

/**
 * Returns whether the received parts and the open calls suffice for the minimum share, so that a
 * further call would only make the answer more complete.
 *
 * @param state - The request.
 * @returns Whether they suffice; always false for a request to a single leaf.
 */
export function openCallsReachMinShare(state: RequestState): boolean {
  const { target } = state.terms.route;
  if (target.kind !== "gather") {
    return false;
  }
  const expected = state.shards.filter((shard) => {
    return shard.part !== undefined || shard.relayed || shard.open.length > 0;
  });
  return expected.length >= minParts(state, target);
}

/**
 * Computes the minimum number of parts of an answer. The tolerance absorbs floating-point error, so
 * that 0.89 of 100 parts is 89 parts.
 *
 * @param state - The request.
 * @param target - The minimum share of parts.
 * @returns The number of parts.
 */
export function minParts(
  state: Pick<RequestState, "shards">,
  target: Pick<GatherTarget, "leastShare">,
): number {
  return Math.ceil(target.leastShare * state.shards.length - 1e-9);
}
