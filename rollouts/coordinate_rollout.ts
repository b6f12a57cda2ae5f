/**
 * Coordination of one order by one box: records the order, switches all traffic to the target
 * version, and writes the verdict. Any number of boxes may coordinate the same order: their writes
 * are conditional, so that only one verdict takes effect.
 *
 * | state         | next states                                                                  |
 * | ------------- | ---------------------------------------------------------------------------- |
 * | `following`   | `recording` or `observing`, once this box becomes a coordinator              |
 * | `recording`   | `observing`, after `running` is recorded or a conflict                       |
 * | `observing`   | `claiming`, if a switch is due or an attempt of another box has timed out;   |
 * |               | `completing`, if only the target has leafs; `rollingBack`, if it has none    |
 * | `claiming`    | `switching`, after the attempt is recorded; `observing`, after a conflict or |
 * |               | a refusal, or if the switch is no longer due                                 |
 * | `switching`   | `completing`, after all boxes have confirmed; `observing`, after a time-out, |
 * |               | if the target cannot serve alone, or after a later attempt of another box    |
 * | `completing`  | `settled`, after the acknowledgement; `switching` or `observing`, if         |
 * |               | `completed` has had no effect; `observing`, after a later attempt            |
 * | `rollingBack` | `settled`, after the acknowledgement                                         |
 * | `settled`     | none; records the verdict again in a restored store                          |
 *
 * In addition:
 *
 * - A target that is judged as bad leads to `rollingBack` from all states except `following` and
 *   `settled`.
 * - A view with a verdict leads to `settled` from all other states.
 * - If this box no longer coordinates, all states except `switching`, `completing` and `settled`
 *   lead to `following`: an own attempt is still completed or aborted.
 *
 * @module
 */
import { logInfo, step } from "../core/mod.js";
import type { Rollout } from "../model/mod.js";
import {
  answerClaim,
  answerCompletion,
  decideAttempt,
  decideCompletion,
  startClaim,
  startCompletion,
} from "./_coordination_attempt.js";
import {
  applyFact,
  applyRevision,
  applyView,
  initialFacts,
  isFact,
  isSwitchDue,
  isTargetAlone,
  isTargetGone,
  logFields,
  MAX_ATTEMPT_MS,
} from "./_coordination_facts.js";
import { answerRecordingAgain, recordAgain } from "./_coordination_restore.js";
import {
  COMPONENT,
  type CoordinationStep,
  finish,
  isAnswerTo,
  isRetryDue,
  newWrite,
  retryLater,
  sendWrite,
  settled,
  startCoordination,
  startRollback,
} from "./_coordination_writes.js";
import type {
  AnsweredEvent,
  ClaimingState,
  CoordinationEffect,
  CoordinationEvent,
  CoordinationState,
  DecisionEvent,
  FollowingState,
  ObservingState,
  RecordingState,
  RollingBackState,
  RolloutFacts,
  TickEvent,
} from "./coordination_types.js";

/**
 * Time for which a coordinator waits for an attempt of another box to end before it claims the next
 * one, in milliseconds; slightly longer than an attempt. A substitute that takes over does not
 * wait, as the first box is gone.
 */
const FOREIGN_ATTEMPT_MS = MAX_ATTEMPT_MS + 200;

/**
 * Shortest time from when this box first sees an order to its first attempt, in milliseconds. The
 * allowance is known only from the reports of all boxes, which they send every second.
 */
const FIRST_REPORTS_MS = 1_200;

type Handler<State, Event> = (state: State, event: Event) => CoordinationStep;

/** What a state does at a tick, and on the answer to a write. */
interface StateHandlers<State> {
  readonly tick: Handler<State, TickEvent>;
  readonly answered: Handler<State, AnsweredEvent>;
}

type Handlers = {
  readonly [K in CoordinationState["kind"]]: StateHandlers<
    Extract<CoordinationState, { readonly kind: K }>
  >;
};

const HANDLERS: Handlers = {
  following: { tick: follow, answered: ignore },
  recording: { tick: repeatOrLeave, answered: answerRecording },
  observing: { tick: observe, answered: ignore },
  claiming: { tick: repeatOrLeave, answered: answerClaim },
  switching: { tick: decideAttempt, answered: ignore },
  completing: { tick: decideCompletion, answered: answerCompletion },
  rollingBack: { tick: repeatOrLeave, answered: answerRollback },
  settled: { tick: recordAgain, answered: answerRecordingAgain },
};

/**
 * Returns the state of an order that this box has just learned of.
 *
 * @param order - The order.
 * @param bounds - Bounds from the settings, and the current time.
 * @returns The state; this box does not coordinate until a tick says so.
 */
export function startCoordinatingRollout(
  order: Rollout,
  bounds: Pick<RolloutFacts, "exposureShare" | "exposureSlackCalls" | "nowMs">,
): CoordinationState {
  const facts = initialFacts(order, bounds);
  return order.state === "running" ? { kind: "following", facts } : settled(facts);
}

/**
 * Advances the coordination of an order.
 *
 * @param state - Current state.
 * @param event - What has happened.
 * @returns The next state and its effects.
 */
export function coordinateRollout(
  state: CoordinationState,
  event: CoordinationEvent,
): CoordinationStep {
  if (isFact(event)) {
    return step({ ...state, facts: applyFact(state.facts, event) });
  }
  return DECISIONS[event.kind](state, event as never);
}

type Decisions = {
  readonly [K in DecisionEvent["kind"]]: Handler<
    CoordinationState,
    Extract<DecisionEvent, { readonly kind: K }>
  >;
};

const DECISIONS: Decisions = {
  tick: (state, event) => {
    const { nowMs, role } = event;
    return dispatch({ ...state, facts: { ...state.facts, nowMs, role } }, "tick", event);
  },
  answered: (state, event) => {
    const { result, write } = event;
    if (result.kind === "done") {
      const facts = applyRevision(state.facts, result.revision);
      const isVerdict = write.state !== "running" && state.kind !== "settled";
      return isVerdict ? finish(facts, write) : dispatch({ ...state, facts }, "answered", event);
    }
    const current = result.kind === "conflict" ? result.current : undefined;
    const facts = current ? applyView(state.facts, current.order, current.revision) : state.facts;
    return isFinishedElsewhere(state, facts)
      ? settle(facts)
      : dispatch({ ...state, facts }, "answered", event);
  },
  viewed: (state, { order, revision }) => {
    const facts = applyView(state.facts, order, revision);
    if (isFinishedElsewhere(state, facts)) {
      return settle(facts);
    }
    if (isOvertaken(state, facts)) {
      return yieldAttempt(facts);
    }
    const { attempt, stage } = facts.order;
    const isNewAttempt = stage === "switching" && attempt > state.facts.order.attempt;
    return state.kind === "observing" && isNewAttempt
      ? step({ ...state, facts, claimFromMs: facts.nowMs + FOREIGN_ATTEMPT_MS })
      : step({ ...state, facts });
  },
  bad: (state, { inputs, nowMs }) => {
    const { order, role } = state.facts;
    if (order.isBad || order.state !== "running") {
      return step(state);
    }
    const facts = { ...state.facts, nowMs, order: { ...order, isBad: true } };
    const line = logInfo(COMPONENT, "version judged as bad", { ...logFields(facts), ...inputs });
    const tick = { kind: "tick", nowMs, role, storeEra: 0 } as const;
    const { effects, state: next } = dispatch({ ...state, facts }, "tick", tick);
    return step(next, line, ...effects);
  },
};

function dispatch(
  state: CoordinationState,
  kind: "tick" | "answered",
  event: TickEvent | AnsweredEvent,
): CoordinationStep {
  return HANDLERS[state.kind][kind](state as never, event as never);
}

/** Whether another box has written the verdict. */
function isFinishedElsewhere(state: CoordinationState, { order }: RolloutFacts): boolean {
  return order.state !== "running" && state.kind !== "settled";
}

/** Adopts the verdict of another box. */
function settle(facts: RolloutFacts): CoordinationStep {
  const { state } = facts.order;
  const line = logInfo(COMPONENT, "verdict of another box", { ...logFields(facts), state });
  return step<CoordinationState, CoordinationEffect>(settled(facts), line, {
    kind: "apply",
    order: facts.order,
  });
}

/**
 * Whether another box owns a later attempt than this one. It has been recorded by a later write, so
 * `completed` of the own attempt can no longer take effect.
 */
function isOvertaken(state: CoordinationState, { order }: RolloutFacts): boolean {
  const own =
    state.kind === "switching" || state.kind === "completing" ? state.own?.attempt : undefined;
  return own !== undefined && order.attempt > own;
}

/** Leaves the order to the box that owns a later attempt. */
function yieldAttempt(facts: RolloutFacts): CoordinationStep {
  const claimFromMs = facts.nowMs + FOREIGN_ATTEMPT_MS;
  const line = logInfo(COMPONENT, "attempt of another box replaces the own one", logFields(facts));
  return step({ kind: "observing", facts, claimFromMs }, line);
}

function ignore(state: CoordinationState): CoordinationStep {
  return step(state);
}

function follow(state: FollowingState): CoordinationStep {
  const { facts } = state;
  const { firstSeenAtMs, nowMs, order, role } = facts;
  if (role === "none") {
    return step(state);
  }
  const isForeign = order.stage === "switching" && role === "first";
  const foreignUntilMs = isForeign ? nowMs + FOREIGN_ATTEMPT_MS : nowMs;
  return startCoordination(facts, Math.max(foreignUntilMs, firstSeenAtMs + FIRST_REPORTS_MS));
}

function observe(state: ObservingState): CoordinationStep {
  const { facts, claimFromMs } = state;
  const { nowMs, order, role } = facts;
  if (role === "none") {
    return step({ kind: "following", facts });
  }
  if (order.isBad) {
    return startRollback(facts, "bad");
  }
  if (order.stage === "switching") {
    // The owner of the attempt may be gone. Whether it has sent `completed` is not known, so the
    // next attempt has to be recorded first.
    return nowMs >= claimFromMs ? startClaim(facts) : step(state);
  }
  if (isTargetGone(facts)) {
    return startRollback(facts, "no leaf of the target is left");
  }
  if (isTargetAlone(facts)) {
    return startCompletion(facts, undefined);
  }
  return nowMs >= claimFromMs && isSwitchDue(facts) ? startClaim(facts) : step(state);
}

/** Tries a write again, unless this box no longer coordinates or the version is bad. */
function repeatOrLeave(state: RecordingState | ClaimingState | RollingBackState): CoordinationStep {
  const { facts, write } = state;
  const { nowMs, order, role } = facts;
  if (role === "none") {
    return step({ kind: "following", facts });
  }
  if (order.isBad && state.kind !== "rollingBack") {
    return startRollback(facts, "bad");
  }
  if (!isRetryDue(write, { ...facts, nowMs })) {
    return step(state);
  }
  // All tries depend on the same revision, so that at most one of them takes effect.
  return step({ ...state, write: { ...write, retryAtMs: undefined } }, sendWrite(facts, write));
}

function answerRecording(state: RecordingState, event: AnsweredEvent): CoordinationStep {
  const { facts, write } = state;
  if (!isAnswerTo(event, write)) {
    return step(state);
  }
  const { result } = event;
  if (result.kind === "done" || (result.kind === "conflict" && result.current !== undefined)) {
    const claimFromMs = facts.firstSeenAtMs + FIRST_REPORTS_MS;
    return step({ kind: "observing", facts, claimFromMs });
  }
  return step({ ...state, write: retryLater(write, facts, result.kind) });
}

function answerRollback(state: RollingBackState, event: AnsweredEvent): CoordinationStep {
  const { facts, write } = state;
  const { result } = event;
  if (!isAnswerTo(event, write) || result.kind === "done") {
    return step(state);
  }
  if (result.kind === "conflict" && result.current !== undefined) {
    const next = newWrite(facts, { state: "rolledBack", attempt: facts.order.attempt });
    return step({ ...state, write: next }, sendWrite(facts, next));
  }
  return step({ ...state, write: retryLater(write, facts, result.kind) });
}
