/**
 * Steps of an attempt: record its number, announce it, and write `completed` once all boxes have
 * confirmed it.
 *
 * @module
 */
import { logInfo, logWarn, step } from "../core/mod.js";
import type { Rollout, StorePosition } from "../model/mod.js";
import {
  attemptTimes,
  isSwitchDue,
  liveBoxes,
  logFields,
  missingFor,
  unconfirmedBoxes,
} from "./_coordination_facts.js";
import {
  COMPONENT,
  type CoordinationStep,
  isAnswerTo,
  isRetryDue,
  newWrite,
  retryLater,
  sendWrite,
  startRollback,
} from "./_coordination_writes.js";
import type {
  AnsweredEvent,
  ClaimingState,
  CompletingState,
  CoordinationEffect,
  CoordinationState,
  OwnAttempt,
  RolloutFacts,
  SwitchingState,
} from "./coordination_types.js";

/** Interval of announcements to unconfirmed boxes, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 200;

/** Time from an aborted attempt to the next one, in milliseconds. */
const NEXT_ATTEMPT_MS = 2_000;

/** Time from a refused or lost claim to the next one, in milliseconds. */
const NEXT_CLAIM_MS = 500;

/**
 * Starts to record the next attempt in the store.
 *
 * @param facts - What is known of the order.
 * @returns The next state and its effects.
 */
export function startClaim(facts: RolloutFacts): CoordinationStep {
  const write = newWrite(facts, { state: "running", attempt: facts.order.attempt + 1 });
  return step<CoordinationState, CoordinationEffect>(
    { kind: "claiming", facts, write },
    logInfo(COMPONENT, "recording the next attempt", logFields(facts)),
    sendWrite(facts, write),
  );
}

/**
 * Handles the answer to the record of the next attempt.
 *
 * @param state - Current state.
 * @param event - The answer.
 * @returns The next state and its effects.
 */
export function answerClaim(state: ClaimingState, event: AnsweredEvent): CoordinationStep {
  const { facts, write } = state;
  const { result } = event;
  if (!isAnswerTo(event, write)) {
    return step(state);
  }
  if (result.kind === "done") {
    return startAttempt(facts, write.status.attempt, result.revision);
  }
  const isOpen = write.isInDoubt || result.kind === "unclear";
  if (isOpen && (result.kind !== "conflict" || result.current === undefined)) {
    return step({ ...state, write: retryLater(write, facts, result.kind) });
  }
  // After a conflict, an attempt with the same number may be that of another box.
  return step({ kind: "observing", facts, claimFromMs: facts.nowMs + NEXT_CLAIM_MS });
}

/** Announces an attempt that the store has recorded for this box. */
function startAttempt(
  facts: RolloutFacts,
  attempt: number,
  revision: StorePosition,
): CoordinationStep {
  const { nowMs, order } = facts;
  if (order.attempt > attempt) {
    return step({ kind: "observing", facts, claimFromMs: nowMs + NEXT_CLAIM_MS });
  }
  if (!isSwitchDue({ ...facts, order: { ...order, attempt: 0 } }) || order.isBad) {
    // Some boxes may have switched already, to an attempt of another box or to this one as read
    // from the store. A later attempt number makes them return to the gradual stage.
    return returnToGradual(facts, attempt + 1, "no attempt is due");
  }
  const next: RolloutFacts = { ...facts, order: { ...order, attempt, stage: "switching" } };
  const announceAtMs = nowMs + ANNOUNCE_INTERVAL_MS;
  return step<CoordinationState, CoordinationEffect>(
    {
      kind: "switching",
      facts: next,
      own: { attempt, revision, ...attemptTimes(facts), announceAtMs },
    },
    logInfo(COMPONENT, "switching", logFields(next)),
    { kind: "countRollout", count: "attempt" },
    { kind: "apply", order: next.order },
    { kind: "announce", order: next.order, boxes: liveBoxes(next) },
  );
}

/**
 * Announces the gradual stage of an attempt. Allowed only if `completed` of all earlier attempts
 * can no longer take effect.
 */
function returnToGradual(facts: RolloutFacts, attempt: number, cause: string): CoordinationStep {
  const order: Rollout = { ...facts.order, attempt, stage: "gradual" };
  const next = { ...facts, order };
  return step<CoordinationState, CoordinationEffect>(
    { kind: "observing", facts: next, claimFromMs: facts.nowMs + NEXT_ATTEMPT_MS },
    logWarn(COMPONENT, "gradual stage again", { ...logFields(next), cause }),
    { kind: "apply", order },
    { kind: "announce", order, boxes: liveBoxes(next) },
  );
}

/** Aborts an attempt of this box, which has sent no `completed` that may still take effect. */
function abort(facts: RolloutFacts, own: OwnAttempt, cause: string): CoordinationStep {
  const missing = missingFor(facts, own);
  const aborted = returnToGradual(facts, own.attempt + 1, cause);
  return step(
    aborted.state,
    logWarn(COMPONENT, "attempt aborted", { ...logFields(facts), cause, missing }),
    { kind: "countRollout", count: "abortedAttempt" } as const,
    ...aborted.effects,
  );
}

/**
 * Completes, aborts or announces an attempt of which `completed` was not sent.
 *
 * @param state - Current state.
 * @returns The next state and its effects.
 */
export function decideAttempt(state: SwitchingState): CoordinationStep {
  const { facts, own } = state;
  if (facts.order.isBad) {
    const aborted = abort(facts, own, "bad");
    const rollback = startRollback(aborted.state.facts, "bad");
    return step(rollback.state, ...aborted.effects, ...rollback.effects);
  }
  if (!facts.leafs.canServeAlone) {
    return abort(facts, own, "the target cannot serve alone");
  }
  if (facts.nowMs >= own.completeFromMs && missingFor(facts, own).length === 0) {
    return startCompletion(facts, own);
  }
  if (facts.nowMs >= own.abortAtMs) {
    return abort(facts, own, "not confirmed in time");
  }
  return announceAgain(state);
}

/** Announces the attempt again to the boxes that have not confirmed it, at an interval. */
function announceAgain<State extends SwitchingState | CompletingState>(
  state: State,
): CoordinationStep {
  const { facts, own } = state;
  if (own === undefined || facts.nowMs < own.announceAtMs) {
    return step<CoordinationState, CoordinationEffect>(state);
  }
  const boxes = unconfirmedBoxes(facts, own.attempt).map(({ box }) => box);
  const announceAtMs = facts.nowMs + ANNOUNCE_INTERVAL_MS;
  const next = { ...state, own: { ...own, announceAtMs } };
  return boxes.length === 0
    ? step<CoordinationState, CoordinationEffect>(next)
    : step<CoordinationState, CoordinationEffect>(next, {
        kind: "announce",
        order: facts.order,
        boxes,
      });
}

/**
 * Writes `completed`, on the condition that nothing was written since the attempt was recorded.
 *
 * @param facts - What is known of the order.
 * @param own - The attempt; `undefined` if the target serves alone without a switch.
 * @returns The next state and its effects.
 */
export function startCompletion(
  facts: RolloutFacts,
  own: OwnAttempt | undefined,
): CoordinationStep {
  const attempt = own?.attempt ?? facts.order.attempt;
  const writeFacts = own === undefined ? facts : { ...facts, revision: own.revision };
  const write = newWrite(writeFacts, { state: "completed", attempt });
  return step<CoordinationState, CoordinationEffect>(
    { kind: "completing", facts, own, write },
    logInfo(COMPONENT, "completing", logFields(facts)),
    sendWrite(facts, write),
  );
}

/**
 * Writes `completed` again while it may have taken effect; otherwise decides on the attempt again.
 *
 * @param state - Current state.
 * @returns The next state and its effects.
 */
export function decideCompletion(state: CompletingState): CoordinationStep {
  const { facts, own, write } = state;
  if (facts.order.isBad) {
    // Both writes depend on the same revision, so that at most one of them takes effect.
    return startRollback(facts, "bad");
  }
  if (!isRetryDue(write, facts)) {
    return announceAgain(state);
  }
  if (!write.isInDoubt) {
    return withdrawCompletion(facts, own);
  }
  return step<CoordinationState, CoordinationEffect>(
    { ...state, write: { ...write, retryAtMs: undefined } },
    sendWrite(facts, write),
  );
}

/** Returns to the state before `completed` was sent, as it has had no effect and will have none. */
function withdrawCompletion(facts: RolloutFacts, own: OwnAttempt | undefined): CoordinationStep {
  return own === undefined
    ? step({ kind: "observing", facts, claimFromMs: facts.nowMs })
    : decideAttempt({ kind: "switching", facts, own });
}

/**
 * Handles an answer to `completed`. Acknowledgements and verdicts of other boxes are handled before
 * by `coordinateRollout()`.
 *
 * @param state - Current state.
 * @param event - The answer.
 * @returns The next state and its effects.
 */
export function answerCompletion(state: CompletingState, event: AnsweredEvent): CoordinationStep {
  const { facts, own, write } = state;
  const { result } = event;
  if (!isAnswerTo(event, write) || result.kind === "done") {
    return step(state);
  }
  if (result.kind !== "conflict") {
    return step({ ...state, write: retryLater(write, facts, result.kind) });
  }
  if (result.current === undefined) {
    // The object may contain the verdict, so the write stays in doubt.
    return step({ ...state, write: { ...retryLater(write, facts, "conflict"), isInDoubt: true } });
  }
  if (own !== undefined && facts.order.attempt === own.attempt) {
    // Something other than the attempt has changed, such as the operator's `spec`.
    const revision = result.current.revision;
    return step({ kind: "switching", facts, own: { ...own, revision } });
  }
  return step({ kind: "observing", facts, claimFromMs: facts.nowMs + NEXT_CLAIM_MS });
}
