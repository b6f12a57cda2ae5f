/**
 * Judges whether a request can be answered, and with what.
 *
 * @module
 */
import { type Step, step } from "../core/mod.js";
import type { GatherTarget } from "../routing/mod.js";
import { openAttemptsOf } from "./_shards.js";
import { mergeRecords } from "./record_merge.js";
import type { Reply, RequestEffect, RequestState } from "./request_state.js";

/**
 * When a request that could not be offered to a leaf may be asked again, in milliseconds: entries that
 * lapsed while the store was away come back within two seconds, most of them sooner.
 */
const NO_LEAF_RETRY_MS = 500;

type JudgedStep = Step<RequestState, RequestEffect>;

/**
 * Answers a request if nothing better is to come: all shards are settled, or the aim has passed and
 * the least share is in.
 *
 * @param state - The request so far.
 * @returns The request, with its reply where there is one.
 */
export function replyIfDecided(state: RequestState): JudgedStep {
  if (state.done) {
    return step(state);
  }
  const settled = state.partsIn + state.partsLost === state.shards.length;
  const { target } = state.terms.route;
  const suffices =
    target.kind === "gather" &&
    hasLeastShare(state, target) &&
    (state.pastObjective || state.partsIn >= state.terms.finishShare * state.shards.length);
  const hopeless = target.kind === "gather" && !canReachMinShare(state, target);
  return settled || suffices || hopeless ? finish(state, finalReply(state)) : step(state);
}

/**
 * Answers a request whose time is up with what is in.
 *
 * @param state - The request so far.
 * @returns The request with its reply.
 */
export function replyAtDeadline(state: RequestState): JudgedStep {
  return finish(state, finalReply(state, { timeIsUp: true }));
}

/**
 * Calls that are still open are let run where they have been sent: they end soon, and breaking one off
 * costs its connection. Those that still wait for a connection would only keep leafs from other work.
 */
function finish(state: RequestState, reply: Reply): JudgedStep {
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
  { timeIsUp = false }: { readonly timeIsUp?: boolean } = {},
): Reply {
  const { target } = state.terms.route;
  if (target.kind === "gather") {
    return hasLeastShare(state, target) ? mergedReply(state, target) : unanswered(state, timeIsUp);
  }
  const shard = state.shards[0];
  const answer = shard?.part ?? shard?.errorAnswer;
  return answer === undefined ? unanswered(state, timeIsUp) : passedReply(answer);
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

function unanswered(state: RequestState, timeIsUp: boolean): Reply {
  const mayHaveRun = state.shards.some(({ runs }) => runs > 0);
  if (!mayHaveRun) {
    return { kind: "notRun", reason: "no leaf can be asked", retryAfterMs: NO_LEAF_RETRY_MS };
  }
  return { kind: "failed", reason: timeIsUp ? "deadline" : "leafs failed" };
}

function hasLeastShare(state: RequestState, target: GatherTarget): boolean {
  return state.partsIn > 0 && state.partsIn >= minParts(state, target);
}

/**
 * Tells whether a gathered request can still be answered with success.
 *
 * @param state - The request.
 * @param target - What it gathers.
 * @returns Whether enough shards are not lost.
 */
export function canReachMinShare(state: RequestState, target: GatherTarget): boolean {
  return state.shards.length - state.partsLost >= Math.max(1, minParts(state, target));
}

/**
 * Tells whether the parts that are in and those that are under way suffice, so that a shard with
 * neither only makes the answer more complete.
 *
 * @param state - The request.
 * @returns Whether they reach the least share; never for a request to a single leaf.
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
 * Tells how many parts an answer must have. Slightly less than the product is rounded up, so that 0.89 of
 * 100 parts is 89 parts.
 *
 * @param state - The request.
 * @param target - What it gathers.
 * @returns The number of parts.
 */
export function minParts(
  state: Pick<RequestState, "shards">,
  target: Pick<GatherTarget, "leastShare">,
): number {
  return Math.ceil(target.leastShare * state.shards.length - 1e-9);
}
