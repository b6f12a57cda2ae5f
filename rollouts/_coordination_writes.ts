/**
 * Steps that write the status of an order, and those that finish it.
 *
 * @module
 */
import { logInfo, logWarn, type Step, step } from "../core/mod.js";
import { eraOf, type Rollout } from "../model/mod.js";
import { isUnrecorded, liveBoxes, logFields } from "./_coordination_facts.js";
import type {
  AnsweredEvent,
  CoordinationEffect,
  CoordinationState,
  PendingWrite,
  RolloutFacts,
  RolloutStatusWrite,
} from "./coordination_types.js";

/** Prefix of the log lines of the coordination. */
export const COMPONENT = "rollouts";

/** Delay of the next try of a write that got no clear answer, in milliseconds. */
const UNCLEAR_RETRY_MS = 200;

/** Delay of the next try while the store refuses writes, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 500;

/** Next state of the coordination, and its effects. */
export type CoordinationStep = Step<CoordinationState, CoordinationEffect>;

/**
 * Returns a status write that takes effect only if the object has its last known revision.
 *
 * @param facts - What is known of the order.
 * @param fields - State and attempt to record.
 * @returns The write, which is not sent yet. `completed` also retires the versions that the target
 *   replaces.
 */
export function newWrite(
  facts: RolloutFacts,
  fields: Pick<RolloutStatusWrite, "state" | "attempt">,
): PendingWrite {
  const { order, revision, seenBaselines } = facts;
  // Without a known revision, either the object has not changed since the order, or the write is
  // refused and the answer contains the revision.
  const expectedRevision = revision ?? order.orderPosition;
  const replaced = fields.state === "completed" ? seenBaselines : [];
  const retired = new Set([...order.retiredVersions, ...replaced]);
  retired.delete(order.targetVersion);
  const status = { ...fields, expectedRevision, retiredVersions: [...retired] };
  return { status, retryAtMs: undefined, isInDoubt: false };
}

/**
 * Returns the effect that sends a write.
 *
 * @param facts - What is known of the order.
 * @param write - The write.
 * @returns The effect.
 */
export function sendWrite(facts: RolloutFacts, { status }: PendingWrite): CoordinationEffect {
  return { kind: "writeStatus", order: facts.order, write: status };
}

/**
 * Schedules another try of a write whose answer does not tell its final result.
 *
 * @param write - The write.
 * @param facts - What is known of the order.
 * @param kind - Kind of the answer.
 * @returns The write with the time of its next try.
 */
export function retryLater(
  write: PendingWrite,
  facts: RolloutFacts,
  kind: "unclear" | "unavailable" | "conflict",
): PendingWrite {
  const delayMs = kind === "unclear" ? UNCLEAR_RETRY_MS : UNAVAILABLE_RETRY_MS;
  const isInDoubt = write.isInDoubt || kind === "unclear";
  return { ...write, isInDoubt, retryAtMs: facts.nowMs + delayMs };
}

/**
 * Returns whether it is time to try a write again.
 *
 * @param write - The write.
 * @param facts - What is known of the order, with the current time.
 * @returns Whether a try is due; not while an answer is expected.
 */
export function isRetryDue({ retryAtMs }: PendingWrite, { nowMs }: RolloutFacts): boolean {
  return retryAtMs !== undefined && nowMs >= retryAtMs;
}

/**
 * Returns whether an answer belongs to a write; late answers may belong to earlier ones.
 *
 * @param event - The answer.
 * @param write - The write.
 * @returns Whether the answer belongs to it.
 */
export function isAnswerTo({ write }: AnsweredEvent, { status }: PendingWrite): boolean {
  return (
    write.state === status.state &&
    write.attempt === status.attempt &&
    write.expectedRevision === status.expectedRevision
  );
}

/**
 * Starts to write `rolled_back`.
 *
 * @param facts - What is known of the order.
 * @param cause - Reason of the rollback, for the log line.
 * @returns The next state and its effects.
 */
export function startRollback(facts: RolloutFacts, cause: string): CoordinationStep {
  const write = newWrite(facts, { state: "rolledBack", attempt: facts.order.attempt });
  return step<CoordinationState, CoordinationEffect>(
    { kind: "rollingBack", facts, write },
    logWarn(COMPONENT, "rolling back", { ...logFields(facts), cause }),
    sendWrite(facts, write),
  );
}

/**
 * Starts to record that the order is running.
 *
 * @param facts - What is known of the order.
 * @returns The next state and its effects.
 */
export function startRecording(facts: RolloutFacts): CoordinationStep {
  const write = newWrite(facts, { state: "running", attempt: facts.order.attempt });
  return step<CoordinationState, CoordinationEffect>(
    { kind: "recording", facts, write },
    logInfo(COMPONENT, "recording the order", logFields(facts)),
    sendWrite(facts, write),
  );
}

/**
 * Begins to coordinate: records the order if it has no status, or observes it.
 *
 * @param facts - What is known of the order.
 * @param claimFromMs - Earliest time of the next attempt, in milliseconds.
 * @returns The next state and its effects.
 */
export function startCoordination(facts: RolloutFacts, claimFromMs: number): CoordinationStep {
  return isUnrecorded(facts)
    ? startRecording(facts)
    : step({ kind: "observing", facts, claimFromMs });
}

/**
 * Finishes the order by a verdict whose write was acknowledged.
 *
 * @param facts - What is known of the order.
 * @param written - The status that was written.
 * @returns The next state and its effects.
 */
export function finish(facts: RolloutFacts, written: RolloutStatusWrite): CoordinationStep {
  const { retiredVersions, state } = written;
  const order: Rollout = { ...facts.order, state, retiredVersions };
  const finished = { ...facts, order };
  return step<CoordinationState, CoordinationEffect>(
    settled(finished),
    logInfo(COMPONENT, "verdict recorded", { ...logFields(finished), state }),
    { kind: "countRollout", count: state === "completed" ? "completed" : "rolledBack" },
    { kind: "apply", order },
    { kind: "announce", order, boxes: liveBoxes(facts) },
  );
}

/**
 * Returns the state of a finished order.
 *
 * @param facts - What is known of the order.
 * @returns The state, by which the verdict counts as recorded in the era of the last known
 *   revision.
 */
export function settled(facts: RolloutFacts): CoordinationState {
  const recordedEra = eraOf(facts.revision ?? facts.order.orderPosition);
  return { kind: "settled", facts, recordedEra, write: undefined };
}
