/**
 * State of a crash-inducing query, as pure functions of the current time.
 *
 * A dropped connection is not sufficient evidence: leafs terminate for other reasons too, and then
 * fail all queries that they are running. A crash-inducing query is never answered, even if it is
 * sent to one leaf at a time. It is quarantined after two such trial calls crashed their leaf and
 * three leafs crashed in total; one answer clears it.
 *
 * @module
 */

/** Status of a query. */
export type CrashStatus = "suspected" | "quarantined" | "cleared";

/** Record of a query that was running when leafs crashed. */
export interface CrashRecord {
  /** Identifies the query by its content. */
  readonly fingerprint: string;
  readonly standing: CrashStatus;
  /** Number of leafs that crashed while running it since it was last cleared. */
  readonly lostLeafs: number;
  /** Number of those that crashed during a trial call. */
  readonly lostTrials: number;
  /** Whether a request for the query has ended without an answer from any leaf. */
  readonly hasFailed: boolean;
  /** Time of the first crash by this box's clock, in milliseconds. */
  readonly suspectedAtMs: number;
  /** Time of the last change of the record by this box's clock, in milliseconds. */
  readonly changedAtMs: number;
}

/**
 * Minimum number of crashed leafs for quarantine; a request and its retry may hit two unrelated
 * crashes.
 */
export const MIN_CRASHED_LEAFS = 3;

/**
 * Minimum number of crashed trial calls for quarantine; a single one may be caused by another query
 * on the same leaf.
 */
const MIN_CRASHED_TRIALS = 2;

/** Time after the last change at which a record is dropped, by status, in milliseconds. */
export const RETENTION_MS: Readonly<Record<CrashStatus, number>> = {
  suspected: 600_000,
  quarantined: 86_400_000,
  // Must exceed the time that an update with an older status may be in transit.
  cleared: 60_000,
};

/** A leaf's connection that closed before the answer. */
export interface LeafCrash {
  readonly fingerprint: string;
  /** Whether it was a trial call, the only call of a suspected query in flight. */
  readonly isTrial: boolean;
  readonly nowMs: number;
}

/**
 * Records a crashed leaf.
 *
 * @param record - The record before the crash, if any.
 * @param crash - The crash.
 * @returns The updated record.
 */
export function recordLeafCrash(
  record: CrashRecord | undefined,
  { fingerprint, isTrial, nowMs }: LeafCrash,
): CrashRecord {
  if (record === undefined || record.standing === "cleared") {
    const counts = { lostLeafs: 1, lostTrials: 0, hasFailed: false };
    const times = { suspectedAtMs: nowMs, changedAtMs: nowMs };
    return { fingerprint, standing: "suspected", ...counts, ...times };
  }
  const lostLeafs = record.lostLeafs + 1;
  const lostTrials = record.lostTrials + (isTrial ? 1 : 0);
  const isConfirmed = lostLeafs >= MIN_CRASHED_LEAFS && lostTrials >= MIN_CRASHED_TRIALS;
  const standing = isConfirmed ? "quarantined" : record.standing;
  return { ...record, standing, lostLeafs, lostTrials, changedAtMs: nowMs };
}

/**
 * Clears a query that a leaf has answered or that an operator has released. The record is retained
 * for some time, so that an outdated report from another box does not restore the previous status.
 *
 * @param record - The record before the change.
 * @param nowMs - Current time, in milliseconds.
 * @returns The cleared record.
 */
export function clearRecord(record: CrashRecord, nowMs: number): CrashRecord {
  const resetCounts = { lostLeafs: 0, lostTrials: 0, hasFailed: false };
  return { ...record, ...resetCounts, standing: "cleared", changedAtMs: nowMs };
}

/**
 * A crash record as exchanged with other boxes and the store. Times are sent as ages, since clocks
 * differ.
 */
export interface ReportedCrashes
  extends Pick<CrashRecord, "fingerprint" | "standing" | "lostLeafs" | "lostTrials"> {
  /** Time since the first crash, in milliseconds. */
  readonly suspectedAgoMs: number;
  /** Time since the sender's record last changed, in milliseconds. */
  readonly changedAgoMs: number;
}

/**
 * Converts a record to the form in which it is reported to other boxes.
 *
 * @param record - The crash record.
 * @param nowMs - Current time, in milliseconds.
 * @returns The reported form.
 */
export function toReportedCrashes(
  { fingerprint, standing, lostLeafs, lostTrials, suspectedAtMs, changedAtMs }: CrashRecord,
  nowMs: number,
): ReportedCrashes {
  const summary = { fingerprint, standing, lostLeafs, lostTrials };
  return { ...summary, suspectedAgoMs: nowMs - suspectedAtMs, changedAgoMs: nowMs - changedAtMs };
}

/**
 * Merges a reported record into this box's own. If either is cleared, the later change wins;
 * otherwise the record with stronger evidence does.
 *
 * @param own - This box's record, if any.
 * @param reported - The record reported by another box or the store.
 * @param nowMs - Current time, in milliseconds.
 * @returns The merged record; `own` itself if the report contains nothing new.
 */
export function mergeReported(
  own: CrashRecord | undefined,
  { suspectedAgoMs, changedAgoMs, ...rest }: ReportedCrashes,
  nowMs: number,
): CrashRecord {
  const suspectedAtMs = nowMs - suspectedAgoMs;
  // Only queries that have failed or have crashed several leafs are reported.
  const reported = { ...rest, hasFailed: true, suspectedAtMs, changedAtMs: nowMs - changedAgoMs };
  if (own === undefined) {
    return reported;
  }
  if (own.standing === "cleared" || reported.standing === "cleared") {
    const isNewer = reported.standing !== own.standing && reported.changedAtMs > own.changedAtMs;
    return isNewer ? reported : own;
  }
  const isStronger = reported.standing === "quarantined" && own.standing !== "quarantined";
  const hasMore = reported.lostLeafs > own.lostLeafs || reported.lostTrials > own.lostTrials;
  if (!isStronger && !hasMore) {
    return own;
  }
  return {
    ...own,
    standing: isStronger ? "quarantined" : own.standing,
    lostLeafs: Math.max(own.lostLeafs, reported.lostLeafs),
    lostTrials: Math.max(own.lostTrials, reported.lostTrials),
    hasFailed: true,
    suspectedAtMs: Math.min(own.suspectedAtMs, suspectedAtMs),
    changedAtMs: Math.max(own.changedAtMs, reported.changedAtMs),
  };
}
