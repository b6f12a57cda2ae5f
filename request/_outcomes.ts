/**
 * Takes in how attempts ended, and tries again where that may help.
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
  readonly world: RequestContext;
}

/**
 * Ends an attempt for one shard and takes in how it ended.
 *
 * @param state - The request.
 * @param ended - The attempt's end.
 * @returns The request after that, with another call where one may help.
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
    return step(takePart(state, ended, outcome.answer));
  }
  const asked = shard.open.find((attempt) => attempt.attemptId === attemptId)?.calledId;
  const without = endAttempt(state, shardIndex, attemptId);
  const handler = OUTCOME_HANDLERS[outcome.kind] as OutcomeHandler<AttemptOutcome>;
  return handler(without, { ...ended, asked });
}

/** The usual way, so the shard is changed but once. */
function takePart(
  state: RequestState,
  { attemptId, shardIndex }: EndedAttempt<AttemptOutcome>,
  part: LeafAnswer,
): RequestState {
  const taken = updateShard(state, shardIndex, (shard) => {
    const open = shard.open.filter((attempt) => attempt.attemptId !== attemptId);
    return { ...shard, open, part };
  });
  return { ...taken, partsIn: state.partsIn + 1 };
}

/** An attempt that brought no part, with the leaf or box that was asked. */
interface FruitlessAttempt<Outcome> extends EndedAttempt<Outcome> {
  readonly asked: string | undefined;
}

type OutcomeHandler<Outcome> = (
  state: RequestState,
  ended: FruitlessAttempt<Outcome>,
) => OutcomeStep;

const OUTCOME_HANDLERS: {
  readonly [K in AttemptOutcome["kind"]]: OutcomeHandler<
    Extract<AttemptOutcome, { readonly kind: K }>
  >;
} = {
  answered: (state, { shardIndex, outcome, world }) => {
    const failure = outcome.answer;
    const kept = updateShard(state, shardIndex, (shard) => ({ ...shard, errorAnswer: failure }));
    return recover(kept, { shardIndex, world, mayRepeat: state.terms.route.repeatable });
  },
  refused: (state, { shardIndex, world, asked = "" }) => {
    const notRun = updateShard(state, shardIndex, (shard) => {
      return { ...shard, runs: shard.runs - 1, refusedBy: [...shard.refusedBy, asked] };
    });
    return recover(notRun, { shardIndex, world, mayRepeat: true });
  },
  failed: (state, { shardIndex, outcome, world }) => {
    if (outcome.sent) {
      return recover(state, { shardIndex, world, mayRepeat: state.terms.route.repeatable });
    }
    const notSent = updateShard(state, shardIndex, (shard) => ({ ...shard, runs: shard.runs - 1 }));
    return recover(notSent, { shardIndex, world, mayRepeat: true, kind: "replacement" });
  },
};

/** A success with a signature; requests to a single leaf also take what a leaf says is the caller's fault. */
function isUsable(
  state: RequestState,
  { statusCode, signature }: { readonly statusCode: number; readonly signature: string },
): boolean {
  if (statusCode >= 200 && statusCode < 300) {
    return signature !== "";
  }
  return state.terms.route.target.kind === "single" && statusCode < 500;
}

interface Recovery {
  readonly shardIndex: number;
  readonly world: RequestContext;
  /** Whether the shard may be asked again at all. */
  readonly mayRepeat: boolean;
  /** What the next call would be for; a retry by default. */
  readonly kind?: ExtraAttempt["kind"];
}

/** Asks again after an attempt came to nothing; a shard that cannot be asked again is lost. */
function recover(
  state: RequestState,
  { shardIndex, world, mayRepeat, kind = "retry" }: Recovery,
): OutcomeStep {
  if (mayRepeat) {
    return retryOrDefer(state, { shardIndex, world, kind });
  }
  const open = state.shards[shardIndex]?.open ?? [];
  return step(open.length > 0 ? state : failShard(state, shardIndex));
}
