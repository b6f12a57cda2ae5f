/**
 * Steps of a finished order. A store restored from a backup may lack its verdict, which is then
 * recorded again.
 *
 * @module
 */
import { logInfo, step } from "../core/mod.js";
import { logFields } from "./_coordination_facts.js";
import {
  COMPONENT,
  type CoordinationStep,
  isAnswerTo,
  isRetryDue,
  newWrite,
  retryLater,
  sendWrite,
} from "./_coordination_writes.js";
import type { AnsweredEvent, SettledState, TickEvent } from "./coordination_types.js";

/**
 * Records the verdict again if the store was restored from a backup since it was recorded.
 *
 * @param state - Current state.
 * @param event - The tick, with the current era of the store.
 * @returns The next state and its effects.
 */
export function recordAgain(state: SettledState, { storeEra }: TickEvent): CoordinationStep {
  const { facts, recordedEra, write } = state;
  if (write !== undefined) {
    const isDue = isRetryDue(write, facts);
    const sent = { ...state, write: { ...write, retryAtMs: undefined } };
    return isDue ? step(sent, sendWrite(facts, write)) : step(state);
  }
  if (storeEra <= recordedEra) {
    return step(state);
  }
  if (facts.role === "none") {
    return step({ ...state, recordedEra: storeEra });
  }
  const { attempt, state: verdict } = facts.order;
  const next = newWrite(facts, { state: verdict, attempt });
  const line = logInfo(COMPONENT, "recording the verdict in a restored store", logFields(facts));
  return step({ ...state, recordedEra: storeEra, write: next }, line, sendWrite(facts, next));
}

/**
 * Handles the answer to the verdict that was written again.
 *
 * @param state - Current state.
 * @param event - The answer.
 * @returns The next state and its effects.
 */
export function answerRecordingAgain(state: SettledState, event: AnsweredEvent): CoordinationStep {
  const { facts, write } = state;
  const { result } = event;
  if (write === undefined || !isAnswerTo(event, write)) {
    return step(state);
  }
  if (result.kind === "done") {
    return step({ ...state, write: undefined });
  }
  if (result.kind !== "conflict") {
    return step({ ...state, write: retryLater(write, facts, result.kind) });
  }
  // Without a readable object of this order there is nothing to record.
  if (result.current === undefined || result.current.isRecorded) {
    return step({ ...state, write: undefined });
  }
  const { attempt, state: verdict } = facts.order;
  const next = newWrite(facts, { state: verdict, attempt });
  return step({ ...state, write: next }, sendWrite(facts, next));
}
