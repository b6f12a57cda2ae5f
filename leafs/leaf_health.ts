/**
 * How a leaf has behaved towards this box: its latency, its load as told, its failures.
 *
 * @module
 */
import { updateMean } from "../latency/mod.js";
import { type LeafSlowdown, NO_SLOWDOWN, recordSlowdown } from "./leaf_slowdown.js";

/** A call that is not answered yet. */
export interface OpenLeafCall {
  readonly callId: number;
  /** When it was sent, by the clock that stands still while this box is busy, in milliseconds. */
  readonly sentAtIdleMs: number;
}

/** What this box has seen of one leaf. */
export interface LeafHealth {
  /**
   * Mean time of an answered call while the leaf works as usual, in milliseconds, the network included; 0 before the
   * first.
   */
  readonly meanMs: number;
  /**
   * Mean time that the leaf itself takes for a call once it runs it, in milliseconds, worked out from
   * the load that it told; 0 where it has told none.
   */
  readonly workMs: number;
  /** Calls of this box that the leaf has not answered yet; few, so a list is the quickest. */
  readonly openCalls: ReadonlyArray<OpenLeafCall>;
  /** When it last answered, by the clock that stands still while this box is busy, in milliseconds. */
  readonly lastAnswerAtIdleMs: number;
  /** Requests running and waiting at the leaf from all boxes, as it last told. */
  readonly reportedLoad: number;
  /** When it told that. */
  readonly reportedAtMs: number;
  /** How long work takes there, as it last reported. */
  readonly slowdown: LeafSlowdown;
  /** Share of the latest calls, 0 to 1, that the leaf refused or that came to nothing. */
  readonly failureRate: number;
  /** When a call last did. */
  readonly lastFailureAtMs: number;
  /** Calls that failed since the last success. */
  readonly consecutiveFailures: number;
  /** Moment until which the leaf is asked only where no other is left. */
  readonly avoidUntilMs: number;
  /** Whether it said that it is leaving or is not the leaf that was expected. */
  readonly terminated: boolean;
}

/** A leaf that has not been asked yet. */
export const INITIAL_LEAF_HEALTH: LeafHealth = {
  meanMs: 0,
  workMs: 0,
  openCalls: [],
  lastAnswerAtIdleMs: 0,
  reportedLoad: 0,
  reportedAtMs: 0,
  slowdown: NO_SLOWDOWN,
  failureRate: 0,
  lastFailureAtMs: 0,
  consecutiveFailures: 0,
  avoidUntilMs: 0,
  terminated: false,
};

/** First time that a failing leaf is avoided, in milliseconds; doubled with each further failure. */
const AVOID_MS = 100;

/**
 * Weight of one call in the share of lost ones: a single loss in between does not turn a box away from
 * a near leaf, two of three do.
 */
const LOST_WEIGHT = 0.12;

/** Age of the last loss at which the share counts for nothing, in milliseconds: the leaf may be well again. */
const LOST_FADE_MS = 3_000;

/** Longest time that a failing leaf is avoided, in milliseconds: it may have restarted by then. */
const MOST_AVOID_MS = 2_000;

/**
 * Notes a call that was sent.
 *
 * @param condition - The condition so far.
 * @param call - Id of the call, and the moment by the clock that stands still while this box is busy.
 * @returns The condition after that.
 */
export function recordCallSent(
  condition: LeafHealth,
  { callId, waitedMs }: { readonly callId: number; readonly waitedMs: number },
): LeafHealth {
  return {
    ...condition,
    openCalls: [...condition.openCalls, { callId, sentAtIdleMs: waitedMs }],
  };
}

/** How a call ended, as far as the leaf's condition is concerned. */
export interface CallEnd {
  readonly callId: number;
  readonly nowMs: number;
  /** The moment by the clock that stands still while this box is busy, in milliseconds. */
  readonly eventLoopIdleMs: number;
  readonly result: "answered" | "failed" | "full" | "gone" | "abandoned";
  /** Load that the leaf told with its answer. */
  readonly reportedLoad?: number | undefined;
  /** Times as long as usual that work takes there, as it reported with its answer. */
  readonly slowdownFactor?: number | undefined;
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
export function recordCallEnd(condition: LeafHealth, end: CallEnd): LeafHealth {
  const call = condition.openCalls.find(({ callId }) => callId === end.callId);
  const tookMs = call === undefined ? 0 : end.eventLoopIdleMs - call.sentAtIdleMs;
  const openCalls = condition.openCalls.filter(({ callId }) => callId !== end.callId);
  const told =
    end.reportedLoad === undefined
      ? {}
      : { reportedLoad: end.reportedLoad, reportedAtMs: end.nowMs };
  const { slowdownFactor: factor, nowMs } = end;
  const slowdown =
    factor === undefined
      ? condition.slowdown
      : recordSlowdown(condition.slowdown, { factor, nowMs });
  const ended = { ...condition, openCalls, slowdown, ...told };
  return END_HANDLERS[end.result](ended, end, tookMs / Math.max(1, factor ?? 1));
}

/** A call that met a queue took that many turns of the leaf's slots. */
function noteWork(workMs: number, { reportedLoad, slots }: CallEnd, tookMs: number): number {
  if (reportedLoad === undefined || slots === undefined) {
    return workMs;
  }
  const turns = Math.max(1, (reportedLoad + 1) / slots);
  return updateMean(workMs, tookMs / turns);
}

function noteLoss(condition: LeafHealth, nowMs: number): LeafHealth {
  const lostShare = condition.failureRate + LOST_WEIGHT * (1 - condition.failureRate);
  return { ...condition, failureRate: lostShare, lastFailureAtMs: nowMs };
}

/**
 * Tells which share of the calls to a leaf is to be expected to come to nothing.
 *
 * @param condition - What was seen of the leaf.
 * @param nowMs - The present moment.
 * @returns The share, 0 to 1; fades while no call is lost, so that the leaf is tried again.
 */
export function expectedFailureRate(
  { lastFailureAtMs: lostAtMs, failureRate: lostShare }: LeafHealth,
  nowMs: number,
): number {
  return lostShare * Math.max(0, 1 - (nowMs - lostAtMs) / LOST_FADE_MS);
}

type EndHandler = (condition: LeafHealth, end: CallEnd, tookMs: number) => LeafHealth;

const END_HANDLERS: Readonly<Record<CallEnd["result"], EndHandler>> = {
  answered: (condition, end, tookMs) => ({
    ...condition,
    meanMs: updateMean(condition.meanMs, tookMs),
    workMs: noteWork(condition.workMs, end, tookMs),
    lastAnswerAtIdleMs: end.eventLoopIdleMs,
    failureRate: condition.failureRate * (1 - LOST_WEIGHT),
    consecutiveFailures: 0,
    avoidUntilMs: 0,
  }),
  failed: (condition, { nowMs }) => {
    const failuresInRow = condition.consecutiveFailures + 1;
    const avoidMs = Math.min(MOST_AVOID_MS, AVOID_MS * 2 ** (failuresInRow - 1));
    return {
      ...noteLoss(condition, nowMs),
      consecutiveFailures: failuresInRow,
      avoidUntilMs: nowMs + avoidMs,
    };
  },
  full: (condition, { nowMs }) => ({
    ...noteLoss(condition, nowMs),
    avoidUntilMs: nowMs + AVOID_MS,
  }),
  gone: (condition) => ({ ...condition, terminated: true }),
  abandoned: (condition) => condition,
};
