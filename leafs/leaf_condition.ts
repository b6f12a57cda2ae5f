/**
 * How a leaf has behaved towards this box: its latency, its load as told, its failures.
 *
 * @module
 */
import { updateMean } from "../latency/mod.js";

/** A call that is not answered yet. */
export interface OpenLeafCall {
  readonly callId: number;
  readonly sentAtMs: number;
}

/** What this box has seen of one leaf. */
export interface LeafCondition {
  /** Mean time of an answered call, in milliseconds, the network included; 0 before the first. */
  readonly meanMs: number;
  /**
   * Mean time that the leaf itself takes for a call once it runs it, in milliseconds, worked out from
   * the load that it told; 0 where it has told none.
   */
  readonly workMs: number;
  /** Calls of this box that the leaf has not answered yet; few, so a list is the quickest. */
  readonly openCalls: ReadonlyArray<OpenLeafCall>;
  /** Requests running and waiting at the leaf from all boxes, as it last told. */
  readonly toldLoad: number;
  /** When it told that. */
  readonly toldAtMs: number;
  /** Calls that failed since the last success. */
  readonly failuresInRow: number;
  /** Moment until which the leaf is asked only where no other is left. */
  readonly avoidUntilMs: number;
  /** Whether it said that it is leaving or is not the leaf that was expected. */
  readonly gone: boolean;
}

/** A leaf that has not been asked yet. */
export const NEW_CONDITION: LeafCondition = {
  meanMs: 0,
  workMs: 0,
  openCalls: [],
  toldLoad: 0,
  toldAtMs: 0,
  failuresInRow: 0,
  avoidUntilMs: 0,
  gone: false,
};

/** First time that a failing leaf is avoided, in milliseconds; doubled with each further failure. */
const AVOID_MS = 100;

/** Longest time that a failing leaf is avoided, in milliseconds: it may have restarted by then. */
const MOST_AVOID_MS = 2_000;

/**
 * Notes a call that was sent.
 *
 * @param condition - The condition so far.
 * @param call - Id of the call and the moment.
 * @returns The condition after that.
 */
export function noteSent(
  condition: LeafCondition,
  { callId, nowMs }: { readonly callId: number; readonly nowMs: number },
): LeafCondition {
  return { ...condition, openCalls: [...condition.openCalls, { callId, sentAtMs: nowMs }] };
}

/** How a call ended, as far as the leaf's condition is concerned. */
export interface CallEnd {
  readonly callId: number;
  readonly nowMs: number;
  readonly result: "answered" | "failed" | "full" | "gone" | "abandoned";
  /** Load that the leaf told with its answer. */
  readonly toldLoad?: number | undefined;
  /** Requests that the leaf runs at the same time; needed to make something of its load. */
  readonly slots?: number;
}

/**
 * Notes the end of a call.
 *
 * @param condition - The condition so far.
 * @param end - How the call ended.
 * @returns The condition after that.
 */
export function noteEnded(condition: LeafCondition, end: CallEnd): LeafCondition {
  const sentAtMs = condition.openCalls.find(({ callId }) => callId === end.callId)?.sentAtMs;
  const openCalls = condition.openCalls.filter(({ callId }) => callId !== end.callId);
  const told = end.toldLoad === undefined ? {} : { toldLoad: end.toldLoad, toldAtMs: end.nowMs };
  const ended = { ...condition, openCalls, ...told };
  return END_HANDLERS[end.result](ended, end, sentAtMs ?? end.nowMs);
}

/** A call that met a queue took that many turns of the leaf's slots. */
function noteWork(workMs: number, { toldLoad, slots }: CallEnd, tookMs: number): number {
  if (toldLoad === undefined || slots === undefined) {
    return workMs;
  }
  const turns = Math.max(1, (toldLoad + 1) / slots);
  return updateMean(workMs, tookMs / turns);
}

type EndHandler = (condition: LeafCondition, end: CallEnd, sentAtMs: number) => LeafCondition;

const END_HANDLERS: Readonly<Record<CallEnd["result"], EndHandler>> = {
  answered: (condition, end, sentAtMs) => ({
    ...condition,
    meanMs: updateMean(condition.meanMs, end.nowMs - sentAtMs),
    workMs: noteWork(condition.workMs, end, end.nowMs - sentAtMs),
    failuresInRow: 0,
    avoidUntilMs: 0,
  }),
  failed: (condition, { nowMs }) => {
    const failuresInRow = condition.failuresInRow + 1;
    const avoidMs = Math.min(MOST_AVOID_MS, AVOID_MS * 2 ** (failuresInRow - 1));
    return { ...condition, failuresInRow, avoidUntilMs: nowMs + avoidMs };
  },
  full: (condition, { nowMs }) => ({ ...condition, avoidUntilMs: nowMs + AVOID_MS }),
  gone: (condition) => ({ ...condition, gone: true }),
  abandoned: (condition) => condition,
};
