/**
 * Decides what is done for one request, from its arrival to its answer. Pure: moments and choices
 * come in, effects go out.
 *
 * @module
 */
import { andThen, forEachStep, type Step, step } from "../core/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import { judgeAtDeadline, judgeRequest } from "./_judge.js";
import { planCalls, type RelayCall } from "./_plan.js";
import type {
  Attempt,
  AttemptOutcome,
  LeafChoice,
  RelayedParts,
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
const HEDGE_AIM_SHARE = 0.4;

/** A shard is asked a second time only once the first call took this many times its expected time. */
const HEDGE_EXPECTED_FACTOR = 1.7;

/** Share of the aim by which it is asked whatever the first call usually takes: later is too late. */
const HEDGE_LATEST_AIM_SHARE = 0.5;

/** Share of the aim that a box near the leafs waits at most before it hands over what has come in. */
const RELAY_PATIENCE_AIM_SHARE = 0.3;

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
      expectedOfBox: undefined,
      runs: 0,
      open: [],
      part: undefined,
      relayed: false,
      failure: undefined,
      lost: false,
    })),
    partsIn: 0,
    partsLost: 0,
    relayed: [],
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

function unchanged(state: RequestState): RequestStep {
  return step(state);
}

type EventHandler<Event> = (state: RequestState, event: Event, world: RequestWorld) => RequestStep;

const EVENT_HANDLERS: {
  readonly [K in RequestEvent["kind"]]: EventHandler<Extract<RequestEvent, { readonly kind: K }>>;
} = {
  started: (state, _event, world) => {
    const asked = askFirst(setFirstTimers(state), world);
    return andThen(
      andThen(asked, (now) => wakeForHedge(now, world)),
      judgeRequest,
    );
  },
  attemptEnded: (state, { attemptId, outcome }, world) => {
    const ended = forEachStep(unchanged(state), shardsOf(state, attemptId), (now, shardIndex) => {
      const without = endAttempt(now, shardIndex, attemptId);
      return takeOutcome(without, { shardIndex, outcome, world });
    });
    return andThen(
      andThen(ended, (now) => wakeForHedge(now, world)),
      judgeRequest,
    );
  },
  partsRelayed: (state, { attemptId, parts }, world) => {
    const taken = takeRelayed(state, parts);
    const declined = new Set(parts.declined);
    const shards = shardsOf(taken, attemptId).filter((index) => {
      return declined.has(taken.shards[index]?.service ?? "");
    });
    const outcome = { kind: "failed", sent: false, reason: "declined" } as const;
    const asked = forEachStep(unchanged(taken), shards, (now, shardIndex) => {
      const without = endAttempt(now, shardIndex, attemptId);
      return takeOutcome(without, { shardIndex, outcome, world });
    });
    return andThen(
      andThen(asked, (now) => wakeForHedge(now, world)),
      judgeRequest,
    );
  },
  timer: (state, { timer }, world) => TIMER_HANDLERS[timer](state, world),
  callerGone: (state) => step({ ...state, done: true }, ...abandonAll(state)),
};

type TimerHandler = (state: RequestState, world: RequestWorld) => RequestStep;

const TIMER_HANDLERS: Readonly<Record<RequestTimer, TimerHandler>> = {
  hedge: (state, world) => {
    const hedged = forEachStep(unchanged(state), state.shards.keys(), (now, shardIndex) => {
      const shard = now.shards[shardIndex];
      const isDue = shard !== undefined && hedgeAtMs(now, shard) <= world.nowMs;
      return isDue ? askAgain(now, { shardIndex, world, kind: "hedge" }) : step(now);
    });
    return andThen(hedged, (now) => wakeForHedge(now, world));
  },
  aim: (state) => judgeRequest({ ...state, pastAim: true }),
  deadline: (state) => judgeAtDeadline(state),
};

function setFirstTimers(state: RequestState): RequestStep {
  const { aimAtMs, deadlineAtMs, route } = state.terms;
  const deadline: RequestEffect = { kind: "wake", timer: "deadline", atMs: deadlineAtMs };
  const aim: RequestEffect = { kind: "wake", timer: "aim", atMs: aimAtMs };
  return route.target.kind === "gather" ? step(state, deadline, aim) : step(state, deadline);
}

function isSettled({ part, relayed, lost }: ShardState): boolean {
  return part !== undefined || relayed || lost;
}

/** Moment at which a shard may be asked a second time; never where it is answered or was asked twice. */
function hedgeAtMs({ terms }: RequestState, shard: ShardState): number {
  const [only] = shard.open;
  if (isSettled(shard) || only === undefined || shard.open.length > 1) {
    return Number.POSITIVE_INFINITY;
  }
  const aimMs = terms.aimAtMs - terms.arrivedAtMs;
  const usualMs = Math.max(aimMs * HEDGE_AIM_SHARE, only.expectedMs * HEDGE_EXPECTED_FACTOR);
  return only.startedAtMs + Math.min(aimMs * HEDGE_LATEST_AIM_SHARE, usualMs);
}

/** Sets the timer for the next shard that will have waited long enough. */
function wakeForHedge(state: RequestState, { nowMs }: RequestWorld): RequestStep {
  if (state.done || !state.terms.route.repeatable) {
    return step(state);
  }
  const next = state.shards
    .filter(({ runs }) => runs < state.terms.maxAttempts)
    .map((shard) => hedgeAtMs(state, shard))
    .filter((atMs) => atMs > nowMs && atMs < state.terms.deadlineAtMs);
  return next.length === 0
    ? step(state)
    : step(state, { kind: "wake", timer: "hedge", atMs: Math.min(...next) });
}

/** Makes the first calls; a shard's first arrival is no extra call. */
function askFirst(first: RequestStep, world: RequestWorld): RequestStep {
  const { direct, relays, unserved } = planCalls(first.state, world);
  const { nowMs } = world;
  const without = unserved.reduce(loseShard, first.state);
  const called = forEachStep({ ...first, state: without }, direct, (now, { shardIndex, leaf }) => {
    return sendAttempt(now, { shardIndex, leaf, nowMs });
  });
  return forEachStep(called, relays, (now, relay) => sendRelay(now, relay, nowMs));
}

function sendRelay(state: RequestState, { box, calls }: RelayCall, nowMs: number): RequestStep {
  const attemptId = state.nextAttemptId;
  const { expectedMs } = box;
  const attempt: Attempt = { attemptId, asked: box.box, startedAtMs: nowMs, expectedMs };
  const sent = calls.reduce((now, { shardIndex, leaf }) => {
    const opened = openAttempt(now, { shardIndex, attempt });
    return updateShard(opened, shardIndex, (shard) => {
      return { ...shard, expectedOfBox: leaf.leafId };
    });
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
  const leaf = chooseAnother(shard, world);
  if (leaf === undefined) {
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

function sendAttempt(state: RequestState, { shardIndex, leaf, nowMs }: SentCall): RequestStep {
  const attemptId = state.nextAttemptId;
  const { leafId, expectedMs } = leaf;
  const attempt: Attempt = { attemptId, asked: leafId, startedAtMs: nowMs, expectedMs };
  const opened = openAttempt(state, { shardIndex, attempt });
  const sent = updateShard(opened, shardIndex, (shard) => {
    return { ...shard, asked: new Set(shard.asked).add(leafId) };
  });
  const { deadlineAtMs } = state.terms;
  return step(
    { ...sent, nextAttemptId: attemptId + 1 },
    { kind: "call", attemptId, shardIndex, leafId, deadlineAtMs },
  );
}

interface OpenedAttempt {
  readonly shardIndex: number;
  readonly attempt: Attempt;
}

function openAttempt(state: RequestState, { shardIndex, attempt }: OpenedAttempt): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    runs: shard.runs + 1,
    open: [...shard.open, attempt],
  }));
}

/** Shards that an attempt is for: one for a leaf, several for a box. */
function shardsOf(state: RequestState, attemptId: number): ReadonlyArray<number> {
  return [...state.shards.keys()].filter((index) => {
    return state.shards[index]?.open.some((attempt) => attempt.attemptId === attemptId);
  });
}

function endAttempt(state: RequestState, shardIndex: number, attemptId: number): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    open: shard.open.filter((attempt) => attempt.attemptId !== attemptId),
  }));
}

/**
 * Takes parts that another box has merged. They cannot be told apart any more, so they go before a
 * part of the same shard that came in by itself.
 */
function takeRelayed(state: RequestState, parts: RelayedParts): RequestState {
  const wasRelayed = state.shards.some(({ service, relayed }) => {
    return relayed && parts.signatures.has(service);
  });
  if (wasRelayed || parts.signatures.size === 0) {
    return state;
  }
  let { partsIn, partsLost } = state;
  const shards = state.shards.map((shard) => {
    if (!parts.signatures.has(shard.service)) {
      return shard;
    }
    partsIn += shard.part === undefined ? 1 : 0;
    partsLost -= shard.lost ? 1 : 0;
    return { ...shard, relayed: true, part: undefined, lost: false };
  });
  return { ...state, shards, partsIn, partsLost, relayed: [...state.relayed, parts] };
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
  return state.terms.route.target.kind === "single" && statusCode < 500;
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
  const next = mayRepeat ? askAgain(state, { shardIndex, world, kind }) : unchanged(state);
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
  const open = new Set(state.shards.flatMap((shard) => shard.open.map((each) => each.attemptId)));
  return [...open].map((attemptId) => ({ kind: "abandon", attemptId }));
}
