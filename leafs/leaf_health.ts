/**
 * Health of a leaf as observed by this box: latency, reported load and failures.
 *
 * @module
 */
import { updateMean } from "../latency/mod.js";
import { type LeafSlowdown, NO_SLOWDOWN, recordSlowdown } from "./leaf_slowdown.js";

/** A call that has not been answered yet. */
export interface OpenLeafCall {
  readonly callId: number;
  /** Event-loop idle time when the call was sent, in milliseconds. */
  readonly sentAtIdleMs: number;
}

/**
 * Health of one leaf as observed by this box. Also used for boxes that calls are relayed through.
 */
export interface LeafHealth {
  /**
   * Mean latency of answered calls at normal speed, network included, in milliseconds; 0 before the
   * first answer.
   */
  readonly meanMs: number;
  /**
   * Mean processing time without queueing, estimated from the reported load, in milliseconds; 0 if
   * unknown.
   */
  readonly workMs: number;
  /** Calls of this box that the leaf has not answered yet. */
  readonly openCalls: ReadonlyArray<OpenLeafCall>;
  /** Event-loop idle time when the leaf last answered, in milliseconds. */
  readonly lastAnswerAtIdleMs: number;
  /** Last reported number of requests from all boxes that are running or queued at the leaf. */
  readonly reportedLoad: number;
  /** Time of the last load report, in milliseconds. */
  readonly reportedAtMs: number;
  /** Last reported slowdown. */
  readonly slowdown: LeafSlowdown;
  /** Moving average of the fraction of calls that failed or were refused, 0 to 1. */
  readonly failureRate: number;
  /** Time of the last failed or refused call, in milliseconds. */
  readonly lastFailureAtMs: number;
  /** Number of failed calls since the last success. */
  readonly consecutiveFailures: number;
  /** Time until which the leaf is called only if no other is available, in milliseconds. */
  readonly avoidUntilMs: number;
  /** Whether the leaf reported that it is shutting down or is not the expected leaf. */
  readonly terminated: boolean;
}

/** Health of a leaf that has not been called yet. */
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

/**
 * Initial time for which a failing leaf is avoided, in milliseconds; doubles with each further
 * failure.
 */
const INITIAL_AVOID_MS = 100;

/**
 * Weight of one call in the moving average of the failure rate. A single failure does not turn a
 * box away from a near leaf; failures of two out of three calls do.
 */
const FAILURE_WEIGHT = 0.12;

/** Time after the last failure at which the failure rate has decayed to 0, in milliseconds. */
const FAILURE_DECAY_MS = 3_000;

/** Maximum time for which a failing leaf is avoided, in milliseconds; it may have restarted by then. */
const MAX_AVOID_MS = 2_000;

/**
 * Records that a call was sent.
 *
 * @param health - Health before the call.
 * @param call - Id of the call and the current event-loop idle time, in milliseconds.
 * @returns The updated health.
 */
export function recordCallSent(
  health: LeafHealth,
  { callId, eventLoopIdleMs }: { readonly callId: number; readonly eventLoopIdleMs: number },
): LeafHealth {
  return {
    ...health,
    openCalls: [...health.openCalls, { callId, sentAtIdleMs: eventLoopIdleMs }],
  };
}

/** The end of a call. */
export interface CallEnd {
  readonly callId: number;
  readonly nowMs: number;
  /** Current event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: number;
  readonly result: "answered" | "failed" | "full" | "gone" | "abandoned";
  /** Load that the leaf reported with its answer. */
  readonly reportedLoad?: number | undefined;
  /** Slowdown that the leaf reported with its answer; 1 is normal speed. */
  readonly slowdownFactor?: number | undefined;
  /** Number of requests that the leaf runs concurrently; needed to interpret the reported load. */
  readonly slots?: number;
}

/**
 * Records the end of a call.
 *
 * @param health - Health before the end of the call.
 * @param end - The end of the call.
 * @returns The updated health.
 */
export function recordCallEnd(health: LeafHealth, end: CallEnd): LeafHealth {
  const call = health.openCalls.find(({ callId }) => callId === end.callId);
  const tookMs = call === undefined ? 0 : end.eventLoopIdleMs - call.sentAtIdleMs;
  const openCalls = health.openCalls.filter(({ callId }) => callId !== end.callId);
  const loadReport =
    end.reportedLoad === undefined
      ? {}
      : { reportedLoad: end.reportedLoad, reportedAtMs: end.nowMs };
  const { slowdownFactor: factor, nowMs } = end;
  const slowdown =
    factor === undefined ? health.slowdown : recordSlowdown(health.slowdown, { factor, nowMs });
  const updated = { ...health, openCalls, slowdown, ...loadReport };
  return END_HANDLERS[end.result](updated, end, tookMs / Math.max(1, factor ?? 1));
}

/**
 * Updates the mean processing time. A queued call takes one turn for each full set of slots ahead
 * of it.
 */
function updateWorkMs(workMs: number, { reportedLoad, slots }: CallEnd, tookMs: number): number {
  if (reportedLoad === undefined || slots === undefined) {
    return workMs;
  }
  const turns = Math.max(1, (reportedLoad + 1) / slots);
  return updateMean(workMs, tookMs / turns);
}

function recordFailure(health: LeafHealth, nowMs: number): LeafHealth {
  const failureRate = health.failureRate + FAILURE_WEIGHT * (1 - health.failureRate);
  return { ...health, failureRate, lastFailureAtMs: nowMs };
}

/**
 * Estimates the current failure rate of calls to a leaf.
 *
 * @param health - Observed health of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The failure rate, 0 to 1; decays while no call fails, so that the leaf is tried again.
 */
export function expectedFailureRate(
  { lastFailureAtMs, failureRate }: LeafHealth,
  nowMs: number,
): number {
  return failureRate * Math.max(0, 1 - (nowMs - lastFailureAtMs) / FAILURE_DECAY_MS);
}

type EndHandler = (health: LeafHealth, end: CallEnd, tookMs: number) => LeafHealth;

const END_HANDLERS: Readonly<Record<CallEnd["result"], EndHandler>> = {
  answered: (health, end, tookMs) => ({
    ...health,
    meanMs: updateMean(health.meanMs, tookMs),
    workMs: updateWorkMs(health.workMs, end, tookMs),
    lastAnswerAtIdleMs: end.eventLoopIdleMs,
    failureRate: health.failureRate * (1 - FAILURE_WEIGHT),
    consecutiveFailures: 0,
    avoidUntilMs: 0,
  }),
  failed: (health, { nowMs }) => {
    const consecutiveFailures = health.consecutiveFailures + 1;
    const avoidMs = Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * 2 ** (consecutiveFailures - 1));
    return {
      ...recordFailure(health, nowMs),
      consecutiveFailures,
      avoidUntilMs: nowMs + avoidMs,
    };
  },
  full: (health, { nowMs }) => ({
    ...recordFailure(health, nowMs),
    avoidUntilMs: nowMs + INITIAL_AVOID_MS,
  }),
  gone: (health) => ({ ...health, terminated: true }),
  abandoned: (health) => health,
};
