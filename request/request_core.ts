/**
 * Decides what is done for one request, from its arrival to its answer. Pure: moments and choices
 * come in, effects go out.
 *
 * @module
 */
import { andThen, forEachStep, type Step, step } from "../core/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import { judgeAtDeadline, judgeRequest } from "./_judge.js";
import type {
  Attempt,
  AttemptOutcome,
  RequestEffect,
  RequestEvent,
  RequestState,
  RequestTerms,
  RequestTimer,
  RequestWorld,
  ShardState,
} from "./request_state.js";

/** A request after an event, and what is to be done for it. */
export type RequestStep = Step<RequestState, RequestEffect>;

/**
 * Share of the aim after which an unanswered shard is asked a second time. Trial on the users' bench:
 * credit 0.80 without and 0.96 with 0.3; at 0.2 the added load cost more than it saved.
 */
const HEDGE_AIM_SHARE = 0.3;

/** Least time that an attempt must have before it is worth sending, in milliseconds. */
const LEAST_ATTEMPT_MS = 10;

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
      asked: new Set(),
      runs: 0,
      open: [],
      part: undefined,
      failure: undefined,
      lost: false,
    })),
    partsIn: 0,
    partsLost: 0,
    nextAttemptId: 1,
    pastAim: false,
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
  world: RequestWorld,
): RequestStep {
  if (state.done) {
    return step(state);
  }
  const handler = EVENT_HANDLERS[event.kind] as EventHandler<RequestEvent>;
  return handler(state, event, world);
}

type EventHandler<Event> = (state: RequestState, event: Event, world: RequestWorld) => RequestStep;

const EVENT_HANDLERS: {
  readonly [K in RequestEvent["kind"]]: EventHandler<Extract<RequestEvent, { readonly kind: K }>>;
} = {
  started: (state, _event, world) => {
    const { arrivedAtMs, aimAtMs, deadlineAtMs } = state.terms;
    const hedgeAtMs = arrivedAtMs + (aimAtMs - arrivedAtMs) * HEDGE_AIM_SHARE;
    const timers = step<RequestState, RequestEffect>(
      state,
      { kind: "wake", timer: "deadline", atMs: deadlineAtMs },
      ...(isGather(state) ? [{ kind: "wake", timer: "aim", atMs: aimAtMs } as const] : []),
      ...(state.terms.route.repeatable
        ? [{ kind: "wake", timer: "hedge", atMs: hedgeAtMs } as const]
        : []),
    );
    const asked = forEachStep(timers, state.shards.keys(), (now, index) => {
      return askFirst(now, index, world);
    });
    return andThen(asked, judgeRequest);
  },
  attemptEnded: (state, { attemptId, outcome }, world) => {
    const shardIndex = state.shards.findIndex(({ open }) => {
      return open.some((attempt) => attempt.attemptId === attemptId);
    });
    if (shardIndex < 0) {
      return step(state);
    }
    const ended = endAttempt(state, shardIndex, attemptId);
    return andThen(takeOutcome(ended, { shardIndex, outcome, world }), judgeRequest);
  },
  timer: (state, { timer }, world) => TIMER_HANDLERS[timer](state, world),
  callerGone: (state) => step({ ...state, done: true }, ...abandonAll(state)),
};

type TimerHandler = (state: RequestState, world: RequestWorld) => RequestStep;

const TIMER_HANDLERS: Readonly<Record<RequestTimer, TimerHandler>> = {
  hedge: (state, world) => {
    return forEachStep(step(state), state.shards.keys(), (now, index) => {
      const shard = now.shards[index];
      const waits = shard !== undefined && !isSettled(shard) && shard.open.length === 1;
      return waits ? askAgain(now, { shardIndex: index, world, kind: "hedge" }) : step(now);
    });
  },
  aim: (state) => judgeRequest({ ...state, pastAim: true }),
  deadline: (state) => judgeAtDeadline(state),
};

function isGather(state: RequestState): boolean {
  return state.terms.route.target.kind === "gather";
}

function isSettled(shard: ShardState): boolean {
  return shard.part !== undefined || shard.lost;
}

/** Asks for a shard's part for the first time; its first arrival is no extra call. */
function askFirst(state: RequestState, shardIndex: number, world: RequestWorld): RequestStep {
  const leafId = chooseFor(state, shardIndex, world);
  return leafId === undefined
    ? step(loseShard(state, shardIndex))
    : sendAttempt(state, { shardIndex, leafId, nowMs: world.nowMs });
}

interface ExtraAsking {
  readonly shardIndex: number;
  readonly world: RequestWorld;
  /** What the call is for; one in place of a call that was never sent is no extra call. */
  readonly kind: ExtraCallKind | "replacement";
}

/** Asks another leaf, if the route, the time left and the budget allow it; else leaves all as is. */
function askAgain(state: RequestState, { shardIndex, world, kind }: ExtraAsking): RequestStep {
  const shard = state.shards[shardIndex];
  const { terms } = state;
  const hasTime = terms.deadlineAtMs - world.nowMs >= LEAST_ATTEMPT_MS;
  if (shard === undefined || shard.runs >= terms.maxAttempts || !hasTime) {
    return step(state);
  }
  const leafId = chooseFor(state, shardIndex, world);
  if (leafId === undefined) {
    return step(state);
  }
  if (kind !== "replacement" && !world.takeExtraCall(shard.service, kind)) {
    return step(state);
  }
  return sendAttempt(state, { shardIndex, leafId, nowMs: world.nowMs });
}

function chooseFor(
  state: RequestState,
  shardIndex: number,
  world: RequestWorld,
): string | undefined {
  const shard = state.shards[shardIndex];
  return shard === undefined ? undefined : world.chooseLeaf(shard.service, shard.asked);
}

function sendAttempt(
  state: RequestState,
  options: { readonly shardIndex: number; readonly leafId: string; readonly nowMs: number },
): RequestStep {
  const { shardIndex, leafId, nowMs } = options;
  const attemptId = state.nextAttemptId;
  const attempt: Attempt = { attemptId, leafId, startedAtMs: nowMs };
  const sent = updateShard(state, shardIndex, (shard) => ({
    ...shard,
    asked: new Set(shard.asked).add(leafId),
    runs: shard.runs + 1,
    open: [...shard.open, attempt],
  }));
  const { deadlineAtMs } = state.terms;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "call", attemptId, shardIndex, leafId, deadlineAtMs },
  );
}

function endAttempt(state: RequestState, shardIndex: number, attemptId: number): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    open: shard.open.filter((attempt) => attempt.attemptId !== attemptId),
  }));
}

interface EndedAttempt<Outcome> {
  readonly shardIndex: number;
  readonly outcome: Outcome;
  readonly world: RequestWorld;
}

function takeOutcome(state: RequestState, ended: EndedAttempt<AttemptOutcome>): RequestStep {
  const shard = state.shards[ended.shardIndex];
  if (shard === undefined || isSettled(shard)) {
    return step(state);
  }
  const handler = OUTCOME_HANDLERS[ended.outcome.kind] as OutcomeHandler<AttemptOutcome>;
  return handler(state, ended);
}

type OutcomeHandler<Outcome> = (state: RequestState, ended: EndedAttempt<Outcome>) => RequestStep;

const OUTCOME_HANDLERS: {
  readonly [K in AttemptOutcome["kind"]]: OutcomeHandler<
    Extract<AttemptOutcome, { readonly kind: K }>
  >;
} = {
  answered: (state, { shardIndex, outcome, world }) => {
    const { answer } = outcome;
    if (isUsable(state, answer)) {
      const taken = updateShard(state, shardIndex, (shard) => ({ ...shard, part: answer }));
      return step({ ...taken, partsIn: state.partsIn + 1 });
    }
    const kept = updateShard(state, shardIndex, (shard) => ({ ...shard, failure: answer }));
    return recover(kept, { shardIndex, world, mayRepeat: state.terms.route.repeatable });
  },
  refused: (state, { shardIndex, world }) => {
    const notRun = updateShard(state, shardIndex, (shard) => ({ ...shard, runs: shard.runs - 1 }));
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
  return !isGather(state) && statusCode < 500;
}

interface Recovery {
  readonly shardIndex: number;
  readonly world: RequestWorld;
  /** Whether the shard may be asked again at all. */
  readonly mayRepeat: boolean;
  /** What the next call would be for; a retry by default. */
  readonly kind?: ExtraAsking["kind"];
}

/** Asks again after an attempt came to nothing; a shard with nothing under way any more is lost. */
function recover(
  state: RequestState,
  { shardIndex, world, mayRepeat, kind = "retry" }: Recovery,
): RequestStep {
  const next = mayRepeat
    ? askAgain(state, { shardIndex, world, kind })
    : step<RequestState, RequestEffect>(state);
  const open = next.state.shards[shardIndex]?.open ?? [];
  return open.length > 0 ? next : { ...next, state: loseShard(next.state, shardIndex) };
}

function loseShard(state: RequestState, shardIndex: number): RequestState {
  const lost = updateShard(state, shardIndex, (shard) => ({ ...shard, lost: true }));
  return { ...lost, partsLost: state.partsLost + 1 };
}

function updateShard(
  state: RequestState,
  shardIndex: number,
  change: (shard: ShardState) => ShardState,
): RequestState {
  const shard = state.shards[shardIndex];
  return shard === undefined
    ? state
    : { ...state, shards: state.shards.with(shardIndex, change(shard)) };
}

function abandonAll(state: RequestState): ReadonlyArray<RequestEffect> {
  return state.shards.flatMap(({ open }) => {
    return open.map(({ attemptId }) => ({ kind: "abandon", attemptId }) as const);
  });
}
