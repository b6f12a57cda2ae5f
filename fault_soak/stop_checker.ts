/**
 * Checks the invariants of planned stops from what callers, leafs and the platform observe.
 *
 * @module
 */
import type { RecordedRun } from "../platform/standin/mod.js";
import type { CheckInvariant } from "./observed_request.js";
import type { ProcessEnd, StopRequest } from "./stop_records.js";

/** Grace period of the boxes, in milliseconds. */
export const GRACE_MS = 4_000;

/** Time limit of all routes, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_000;

/** Inaccuracy of the deadlines that this process computes, in milliseconds. */
const DEADLINE_TOLERANCE_MS = 10;

/** Requests sent later than this after SIGTERM are not excused by a leaf at work, in milliseconds. */
const EXCUSED_SENT_MS = 3_000;

/** Time after SIGTERM from which a leaf at work excuses a missing answer, in milliseconds. */
const EXCUSED_WORK_MS = (GRACE_MS * 5) / 6;

/**
 * Time after its last byte for which a request that was not passed on may end with its connection,
 * in milliseconds: the two may cross.
 */
const CROSSING_MS = 250;

/**
 * Time by which an exit may be observed late, in milliseconds, besides the delay of this process.
 */
const OBSERVED_LATE_MS = 100;

/**
 * Turns of this process's event loop that a call may take on a new connection: two to be accepted,
 * one to connect and two to be read, at a proxy and at a leaf; one more to see the end.
 */
const MAX_TURNS = 6;

/** Time for which bytes of a process that has ended may be under way to a leaf, in milliseconds. */
const UNDER_WAY_MS = 100;

/** The observations of a run. */
export interface StopObservations {
  /** What all leafs ran. */
  readonly runs: ReadonlyArray<RecordedRun>;
  /** Returns the longest delay of this process itself in a period. */
  readonly lagMs: (fromMs: number, untilMs: number) => number;
  readonly requests: ReadonlyArray<StopRequest>;
  readonly ends: ReadonlyArray<ProcessEnd>;
  readonly check: CheckInvariant;
}

/**
 * Checks a run at its end, when leafs have no open requests.
 *
 * @param observations - What was observed, and the callback that records a check.
 */
export function checkStops(observations: StopObservations): void {
  const { requests, ends, check, lagMs } = observations;
  const runs = runsById(observations.runs);
  for (const end of ends) {
    checkEnd(end, observations);
  }
  for (const request of requests) {
    const end = ends.find((each) => {
      return each.box === request.box && each.endedCount === request.endedCount;
    });
    const checked = { request, end, runs: runs.get(request.requestId) ?? [], lagMs };
    checkAnswered(checked, check);
    checkBytes(request, check);
    checkRunsAfterEnd(checked, check);
  }
}

interface CheckedRequest {
  readonly request: StopRequest;
  /** The end of the process that it was sent to. */
  readonly end: ProcessEnd | undefined;
  readonly runs: ReadonlyArray<RecordedRun>;
  readonly lagMs: StopObservations["lagMs"];
}

function runsById(
  runs: ReadonlyArray<RecordedRun>,
): ReadonlyMap<string, ReadonlyArray<RecordedRun>> {
  const byId = new Map<string, Array<RecordedRun>>();
  for (const run of runs) {
    const known = byId.get(run.requestId) ?? [];
    known.push(run);
    byId.set(run.requestId, known);
  }
  return byId;
}

function checkEnd(end: ProcessEnd, { check, lagMs }: StopObservations): void {
  const { box, requestedAtMs, endedAtMs, exitCode } = end;
  const { name } = box.box;
  check("no process ends by itself", requestedAtMs !== undefined, () => `${name}: ${exitCode}`);
  if (requestedAtMs !== undefined) {
    const tookMs = Math.round(endedAtMs - requestedAtMs);
    const lateMs = OBSERVED_LATE_MS + MAX_TURNS * lagMs(requestedAtMs, endedAtMs);
    const holds = exitCode === 0 && tookMs <= GRACE_MS + lateMs;
    check("a stopping box exits with code 0 within its grace", holds, () => {
      const waited = `waited ${Math.round(end.waitedMs ?? Number.NaN)} ms for a processor`;
      return `${name}: code ${exitCode} after ${tookMs} ms, ${waited}, log ${box.log.reader}`;
    });
  }
}

function checkAnswered(observed: CheckedRequest, check: CheckInvariant): void {
  const { request, runs } = observed;
  const { sentAtMs, endedAtMs, pausedMs, response } = request;
  const isAnswered = response?.isComplete === true;
  if (runs.length > 0) {
    const holds = isAnswered || isExcused(observed);
    check("a request that a leaf runs is answered", holds, () => describe(observed));
  } else if (sentAtMs !== undefined && response !== undefined) {
    const unseenMs = pausedMs + MAX_TURNS * observed.lagMs(sentAtMs, endedAtMs);
    const mayCross = endedAtMs - unseenMs <= sentAtMs + CROSSING_MS;
    const holds = isAnswered || mayCross || isExcused(observed);
    check("a request that was read is answered", holds, () => describe(observed));
  }
}

/** Whether the rules do not count a missing answer. */
function isExcused({ request, end, runs }: CheckedRequest): boolean {
  const { startedAtMs, endedAtMs, deadlineMs } = request;
  const sentAtMs = request.sentAtMs ?? startedAtMs;
  const dueAtMs = sentAtMs + Math.min(deadlineMs, ROUTE_TIMEOUT_MS) - DEADLINE_TOLERANCE_MS;
  if (endedAtMs >= dueAtMs) {
    return true;
  }
  const stopAtMs = end?.requestedAtMs;
  if (stopAtMs === undefined || sentAtMs > stopAtMs + EXCUSED_SENT_MS) {
    return false;
  }
  return runs.some((run) => (run.endedAtMs ?? run.atMs) >= stopAtMs + EXCUSED_WORK_MS);
}

function checkBytes(request: StopRequest, check: CheckInvariant): void {
  const { earlyBytes, response, requestId } = request;
  const excessBytes = response?.excessBytes ?? 0;
  check("a connection carries nothing but responses", earlyBytes + excessBytes === 0, () => {
    return `${requestId}: ${earlyBytes} bytes before it, ${excessBytes} bytes after its response`;
  });
}

function checkRunsAfterEnd(observed: CheckedRequest, check: CheckInvariant): void {
  const { end, runs, lagMs } = observed;
  const endedAtMs = end?.endedAtMs ?? Number.POSITIVE_INFINITY;
  const holds = runs.every(({ atMs }) => {
    return atMs <= endedAtMs + UNDER_WAY_MS + MAX_TURNS * lagMs(endedAtMs - UNDER_WAY_MS, atMs);
  });
  check("no request runs after the exit of its box", holds, () => describe(observed));
}

/** Describes a request, with times relative to SIGTERM or else to its start. */
function describe({ request, end, runs }: CheckedRequest): string {
  const { requestId, method, path, shape, startedAtMs, sentAtMs, response, box } = request;
  const zeroMs = end?.requestedAtMs ?? startedAtMs;
  const at = (atMs: number | undefined) => atMs !== undefined && Math.round(atMs - zeroMs);
  return JSON.stringify({
    ...{ requestId, method, path, shape, box: box.box.name, log: box.log.reader },
    afterSigtermMs: end?.requestedAtMs !== undefined,
    ...{ startedMs: at(startedAtMs), sentMs: at(sentAtMs), endedMs: at(request.endedAtMs) },
    exitMs: at(end?.endedAtMs),
    pausedMs: Math.round(request.pausedMs),
    runs: runs.map(({ atMs, endedAtMs }) => ({ fromMs: at(atMs), untilMs: at(endedAtMs) })),
    ...{ statusCode: response?.statusCode, bodyBytes: response?.bodyBytes },
  });
}
