/**
 * What is believed of a query under which leafs were lost. Pure: moments come in.
 *
 * A lost connection alone proves nothing against a query: leafs end for reasons of their own, and
 * each of the queries that they hold loses them. A query that ends leafs differs in that no leaf ever answers
 * it, also where it is sent to one at a time. Two such trials that are lost, with three leafs lost in all,
 * quarantine it; one answer clears it.
 *
 * @module
 */

/** What is believed of a query. */
export type CrashStatus = "suspected" | "quarantined" | "cleared";

/** A query under which leafs were lost. */
export interface CrashRecord {
  /** Tells the query from others. */
  readonly fingerprint: string;
  readonly standing: CrashStatus;
  /** Leafs lost under it since it was last cleared. */
  readonly lostLeafs: number;
  /** Those of them that were asked alone, after the first loss. */
  readonly lostTrials: number;
  /** Whether a request for it has ended without any answer of a leaf. */
  readonly hasFailed: boolean;
  /** Moment of the first loss, on this box's clock, in milliseconds. */
  readonly suspectedAtMs: number;
  /** Moment of what last changed the record, on this box's clock, in milliseconds. */
  readonly changedAtMs: number;
}

/** Losses below which a query is not quarantined: a request to one leaf and its retry lose two by bad luck. */
export const MIN_CRASHED_LEAFS = 3;

/**
 * Lost trials below which it is not quarantined: a leaf that another query ends takes all with it that it
 * holds, within some 300 ms, so that a single trial in that time says little.
 */
const LEAST_LOST_TRIALS = 2;

/** Time after which a record that has not changed is dropped, by what is believed, in milliseconds. */
export const RETENTION_MS: Readonly<Record<CrashStatus, number>> = {
  suspected: 600_000,
  quarantined: 86_400_000,
  // Longer than news of the suspicion can be on its way.
  cleared: 60_000,
};

/** A leaf's connection that ended before its answer. */
export interface LeafCrash {
  readonly fingerprint: string;
  /** Whether it was asked alone, after the first loss. */
  readonly isTrial: boolean;
  readonly nowMs: number;
}

/**
 * Notes a lost leaf.
 *
 * @param record - What was believed; nothing where no leaf was lost yet.
 * @param lost - The loss.
 * @returns What is believed now.
 */
export function recordLeafCrash(
  record: CrashRecord | undefined,
  { fingerprint, isTrial, nowMs }: LeafCrash,
): CrashRecord {
  if (record === undefined || record.standing === "cleared") {
    const first = { lostLeafs: 1, lostTrials: 0, hasFailed: false };
    const moments = { suspectedAtMs: nowMs, changedAtMs: nowMs };
    return { fingerprint, standing: "suspected", ...first, ...moments };
  }
  const lostLeafs = record.lostLeafs + 1;
  const lostTrials = record.lostTrials + (isTrial ? 1 : 0);
  const isProved = lostLeafs >= MIN_CRASHED_LEAFS && lostTrials >= LEAST_LOST_TRIALS;
  const standing = isProved ? "quarantined" : record.standing;
  return { ...record, standing, lostLeafs, lostTrials, changedAtMs: nowMs };
}

/**
 * Clears a query, as a leaf has answered it or an operator says so. The record is kept for a while, so that
 * a box which has not heard of it does not bring the suspicion back.
 *
 * @param record - What was believed.
 * @param nowMs - The present moment.
 * @returns What is believed now.
 */
export function clearRecord(record: CrashRecord, nowMs: number): CrashRecord {
  const nothing = { lostLeafs: 0, lostTrials: 0, hasFailed: false };
  return { ...record, ...nothing, standing: "cleared", changedAtMs: nowMs };
}

/** What another box, or the store, tells of a query; moments as ages, as clocks differ. */
export interface ReportedCrashes
  extends Pick<CrashRecord, "fingerprint" | "standing" | "lostLeafs" | "lostTrials"> {
  /** Time since the first loss, in milliseconds. */
  readonly suspectedAgoMs: number;
  /** Time since its record last changed there, in milliseconds. */
  readonly changedAgoMs: number;
}

/**
 * Writes a record as it is told to others.
 *
 * @param record - The record.
 * @param nowMs - The present moment.
 * @returns What is told.
 */
export function toReportedCrashes(
  { fingerprint, standing, lostLeafs, lostTrials, suspectedAtMs, changedAtMs }: CrashRecord,
  nowMs: number,
): ReportedCrashes {
  const seen = { fingerprint, standing, lostLeafs, lostTrials };
  return { ...seen, suspectedAgoMs: nowMs - suspectedAtMs, changedAgoMs: nowMs - changedAtMs };
}

/**
 * Takes in what was told. Of a suspicion and a clearing the later one holds; else the stronger belief does.
 *
 * @param own - What this box believes, if anything.
 * @param told - What it is told.
 * @param nowMs - The present moment.
 * @returns What it believes now; its own record where nothing new was told.
 */
export function mergeReported(
  own: CrashRecord | undefined,
  { suspectedAgoMs, changedAgoMs, ...rest }: ReportedCrashes,
  nowMs: number,
): CrashRecord {
  const suspectedAtMs = nowMs - suspectedAgoMs;
  // Only a query that has failed, or has lost several leafs, is told of.
  const told = { ...rest, hasFailed: true, suspectedAtMs, changedAtMs: nowMs - changedAgoMs };
  if (own === undefined) {
    return told;
  }
  if (own.standing === "cleared" || told.standing === "cleared") {
    const isNews = told.standing !== own.standing && told.changedAtMs > own.changedAtMs;
    return isNews ? told : own;
  }
  const isStronger = told.standing === "quarantined" && own.standing !== "quarantined";
  const hasMore = told.lostLeafs > own.lostLeafs || told.lostTrials > own.lostTrials;
  if (!isStronger && !hasMore) {
    return own;
  }
  return {
    ...own,
    standing: isStronger ? "quarantined" : own.standing,
    lostLeafs: Math.max(own.lostLeafs, told.lostLeafs),
    lostTrials: Math.max(own.lostTrials, told.lostTrials),
    hasFailed: true,
    suspectedAtMs: Math.min(own.suspectedAtMs, suspectedAtMs),
    changedAtMs: Math.max(own.changedAtMs, told.changedAtMs),
  };
}
