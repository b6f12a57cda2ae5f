/**
 * Applies the outcomes of attempts, and retries where that may help.
 *
 * @module
 */
import { type Step, step } from "../core/mod.js";
import { type ExtraAttempt, retryOrDefer } from "./_attempts.js";
import { endAttempt, failShard, isSettled, updateShard } from "./_shards.js";
import type {
  AttemptOutcome,
  LeafAnswer,
  RequestContext,
  RequestEffect,
  RequestState,
} from "./request_state.js";

type OutcomeStep = Step<RequestState, RequestEffect>;

/** An attempt that has ended for a shard. */
export interface EndedAttempt<Outcome> {
  readonly shardIndex: number;
  readonly attemptId: number;
  readonly outcome: Outcome;
  readonly context: RequestContext;
}

/**
 * Ends an attempt for one shard and applies its outcome.
 *
 * @param state - The request.
 * @param ended - The attempt and its outcome.
 * @returns The updated request, with another call if one may help.
 */
export function applyOutcome(
  state: RequestState,
  ended: EndedAttempt<AttemptOutcome>,
): OutcomeStep {
  const { attemptId, outcome, shardIndex } = ended;
  const shard = state.shards[shardIndex];
  if (shard === undefined || isSettled(shard)) {
    return step(endAttempt(state, shardIndex, attemptId));
  }
  if (outcome.kind === "answered" && isUsable(state, outcome.answer)) {
    return step(addPart(state, ended, outcome.answer));
  }
  const calledId = shard.open.find((attempt) => attempt.attemptId === attemptId)?.calledId;
  const without = endAttempt(state, shardIndex, attemptId);
  const handler = OUTCOME_HANDLERS[outcome.kind] as OutcomeHandler<AttemptOutcome>;
  return handler(without, { ...ended, calledId });
}

/** Adds a part. This is the common path, so the shard is copied only once. */
function addPart(
  state: RequestState,
  { attemptId, shardIndex }: EndedAttempt<AttemptOutcome>,
  part: LeafAnswer,
): RequestState {
  const added = updateShard(state, shardIndex, (shard) => {
    const open = shard.open.filter((attempt) => attempt.attemptId !== attemptId);
    return { ...shard, open, part };
  });
  return { ...added, partsIn: state.partsIn + 1 };
}

/** An attempt that yielded no part, with the leaf or box that was called. */
interface FailedAttempt<Outcome> extends EndedAttempt<Outcome> {
  readonly calledId: string | undefined;
}

type OutcomeHandler<Outcome> = (state: RequestState, ended: FailedAttempt<Outcome>) => OutcomeStep;

const OUTCOME_HANDLERS: {
  readonly [K in AttemptOutcome["kind"]]: OutcomeHandler<
    Extract<AttemptOutcome, { readonly kind: K }>
  >;
} = {
  answered: (state, { shardIndex, outcome, context }) => {
    const errorAnswer = outcome.answer;
    const recorded = updateShard(state, shardIndex, (shard) => ({ ...shard, errorAnswer }));
    return retryOrFail(recorded, { shardIndex, context, mayRepeat: state.terms.route.repeatable });
  },
  refused: (state, { shardIndex, context, calledId = "" }) => {
    const notRun = updateShard(state, shardIndex, (shard) => {
      return { ...shard, runs: shard.runs - 1, refusedBy: [...shard.refusedBy, calledId] };
    });
    return retryOrFail(notRun, { shardIndex, context, mayRepeat: true });
  },
  failed: (state, { shardIndex, outcome, context }) => {
    if (outcome.sent) {
      return retryOrFail(state, { shardIndex, context, mayRepeat: state.terms.route.repeatable });
    }
    const notSent = updateShard(state, shardIndex, (shard) => ({ ...shard, runs: shard.runs - 1 }));
    return retryOrFail(notSent, { shardIndex, context, mayRepeat: true, kind: "replacement" });
  },
};

/**
 * Whether an answer can be used: a success with a signature. A request to a single leaf also passes
 * on client errors (4xx).
 */
function isUsable(
  state: RequestState,
  { statusCode, signature }: { readonly statusCode: number; readonly signature: string },
): boolean {
  if (statusCode >= 200 && statusCode < 300) {
    return signature !== "";
  }
  return state.terms.route.target.kind === "single" && statusCode < 500;
}

interface RetryOptions {
  readonly shardIndex: number;
  readonly context: RequestContext;
  /** Whether the shard may be called again. */
  readonly mayRepeat: boolean;
  /** Purpose of the next call; a retry by default. */
  readonly kind?: ExtraAttempt["kind"];
}

/** Retries after a failed attempt. A shard that cannot be called again fails. */
function retryOrFail(
  state: RequestState,
  { shardIndex, context, mayRepeat, kind = "retry" }: RetryOptions,
): OutcomeStep {
  if (mayRepeat) {
    return retryOrDefer(state, { shardIndex, context, kind });
  }
  const open = state.shards[shardIndex]?.open ?? [];
  return step(open.length > 0 ? state : failShard(state, shardIndex));
}
