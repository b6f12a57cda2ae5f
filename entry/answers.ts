/**
 * Builds the answers to callers.
 *
 * @module
 */
import { confirmedAgoMs } from "../control/mod.js";
import type { Outcome, QueryAnswer } from "../model/mod.js";
import type { GroupSummary } from "../query/mod.js";
import type { EntryState } from "./entry_state.js";

/** Content of an answer without rows: a refusal or an unknown outcome. */
export interface PlainAnswer {
  readonly statusCode: number;
  readonly message: string;
  readonly retryAfterMs: number;
  readonly revision: number;
}

/**
 * Builds the answer to a query that was not run.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds.
 * @param plain - Content of the answer.
 * @returns The answer.
 */
export function refusalAnswer(state: EntryState, nowMs: number, plain: PlainAnswer): QueryAnswer {
  return { ...plainAnswer(state, nowMs, plain), outcome: "refused", notRun: true };
}

/**
 * Builds the answer to a query that may or may not have run.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds.
 * @param message - Why the outcome is unknown.
 * @returns The answer.
 */
export function unknownAnswer(state: EntryState, nowMs: number, message: string): QueryAnswer {
  const plain = { statusCode: 504, message, retryAfterMs: 0, revision: 0 };
  return { ...plainAnswer(state, nowMs, plain), outcome: "unknown", notRun: false };
}

function plainAnswer(state: EntryState, nowMs: number, plain: PlainAnswer) {
  return {
    ...plain,
    snapshot: "",
    coverage: { included: [], lacking: [] },
    rows: [],
    confirmedAgoMs: confirmedAgoMs(state.control, nowMs),
  };
}

const STATUS_CODES: Readonly<Record<Outcome, number>> = {
  complete: 200,
  partial: 200,
  refused: 503,
  unknown: 504,
};

const MESSAGES: Readonly<Record<Outcome, string>> = {
  complete: "",
  partial: "",
  refused: "Cannot run the query now: no leaf took it",
  unknown: "Cannot tell whether the query ran: no leaf answered in time",
};

/** Fields of an answer that the summary does not contain. */
export interface SummaryAnswerOptions {
  readonly snapshot: string;
  readonly revision: number;
  readonly retryAfterMs: number;
  readonly nowMs: number;
}

/**
 * Builds the answer to a query that was sent to leafs.
 *
 * @param state - The entry's state.
 * @param summary - Outcome, coverage and merged rows of the query.
 * @param options - Fields that the summary does not contain.
 * @returns The answer.
 */
export function summaryAnswer(
  state: EntryState,
  summary: GroupSummary,
  { snapshot, revision, retryAfterMs, nowMs }: SummaryAnswerOptions,
): QueryAnswer {
  return {
    ...summary,
    statusCode: STATUS_CODES[summary.outcome],
    message: MESSAGES[summary.outcome],
    snapshot,
    retryAfterMs: summary.outcome === "complete" ? 0 : Math.ceil(retryAfterMs),
    revision,
    confirmedAgoMs: confirmedAgoMs(state.control, nowMs),
  };
}
