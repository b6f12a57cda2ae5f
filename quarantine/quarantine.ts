/**
 * Quarantine of crash-inducing queries.
 *
 * A query that crashes every leaf running it, and that callers repeat, can take down an entire
 * index. After the first crash without an answer, its calls are sent one at a time (trial calls);
 * after two crashed trials, all boxes block it.
 *
 * @module
 */
import { CrashRecords } from "./_crash_records.js";
import {
  MIN_PUBLISHED_CRASHES,
  selectForPublishing,
  shouldPublish,
  shouldPublishNow,
} from "./_published_records.js";
import {
  type CrashRecord,
  clearRecord,
  MIN_CRASHED_LEAFS,
  mergeReported,
  RETENTION_MS,
  type ReportedCrashes,
  recordLeafCrash,
  toReportedCrashes,
} from "./crash_record.js";
import { RecentAnswers } from "./recent_answers.js";

/** Whether and how the next call of a query may be sent. */
export type CallPermission =
  /** Without restriction. */
  | "unrestricted"
  /** As a trial: this box sends no other call of the query until it has ended. */
  | "exclusive"
  /** Not yet, as a trial is in flight. */
  | "deferred"
  /** Not for now: the query is quarantined, or its trials are left to another box. */
  | "blocked";

/**
 * Time after the first crash during which any box may run trials of a query with at least
 * `MIN_CRASHED_LEAFS` crashes, in milliseconds. All boxes know of the query by then, and a single
 * box runs the later trials. Queries with fewer crashes may be tried by any box at any time, as
 * their crashes are probably unrelated.
 */
const ANY_BOX_TRIAL_MS = 1_500;

/** Time after which a trial is considered ended, in milliseconds; longer than usual deadlines. */
const MAX_TRIAL_MS = 10_000;

/**
 * Time for which a quarantined query is blocked, in milliseconds; after that, one box may try it
 * again. An index can bear the loss of one leaf that often, and a query whose fault has been fixed
 * waits no longer.
 */
const QUARANTINE_MS = 600_000;

/** Time after which the caller of a suspected query may retry, in milliseconds. */
const SUSPECTED_RETRY_MS = 1_000;

/** A change of a crash record. */
export interface QuarantineChange {
  readonly record: CrashRecord;
  readonly before: CrashRecord | undefined;
  /**
   * Origin of the change: this box's own observation, or a report from another box or the store.
   */
  readonly source: "own" | "reported";
  /** Whether the record is to be published immediately. */
  readonly publishNow: boolean;
}

/** Options of the quarantine. */
export interface QuarantineOptions {
  readonly nowMs: () => number;
  /** Returns whether this box runs the later trials of a suspected query. */
  readonly isTrialBox: (fingerprint: string) => boolean;
  /** Called after each change. */
  readonly onChange: (change: QuarantineChange) => void;
}

/** A call whose leaf crashed. */
export interface CrashedCall {
  readonly fingerprint: string;
  readonly isTrial: boolean;
}

/** Tracks suspected and quarantined queries, and decides how their calls may be sent. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #records: CrashRecords;
  readonly #recentAnswers = new RecentAnswers();
  /** Start times of the trials in flight, by fingerprint. */
  readonly #trialStarts = new Map<string, number>();

  /**
   * @param options - Options of the quarantine.
   */
  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#records = new CrashRecords(options.nowMs);
  }

  /**
   * Returns whether and how the next call of a query may be sent. Must be checked right before each
   * call.
   *
   * @param fingerprint - Fingerprint of the query.
   * @returns The permission.
   */
  permission(fingerprint: string): CallPermission {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.standing === "cleared") {
      return "unrestricted";
    }
    const nowMs = this.#options.nowMs();
    if (isBlocked(record, nowMs)) {
      return "blocked";
    }
    if (this.#isTrialInFlight(fingerprint, nowMs)) {
      return "deferred";
    }
    const isRecent = nowMs - record.suspectedAtMs < ANY_BOX_TRIAL_MS;
    const isBelowMinimum = record.lostLeafs < MIN_CRASHED_LEAFS;
    return isRecent || isBelowMinimum || this.#options.isTrialBox(fingerprint)
      ? "exclusive"
      : "blocked";
  }

  /**
   * Returns when a blocked query may be retried.
   *
   * @param fingerprint - Fingerprint of the query.
   * @returns The time from now, in milliseconds.
   */
  retryAfterMs(fingerprint: string): number {
    const record = this.#records.get(fingerprint);
    const nowMs = this.#options.nowMs();
    return record !== undefined && isBlocked(record, nowMs)
      ? record.changedAtMs + QUARANTINE_MS - nowMs
      : SUSPECTED_RETRY_MS;
  }

  /**
   * Starts a trial: the only call of a suspected query that may be in flight at this box.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  beginTrial(fingerprint: string): void {
    this.#trialStarts.set(fingerprint, this.#options.nowMs());
  }

  /**
   * Ends the trial of a query.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  endTrial(fingerprint: string): void {
    this.#trialStarts.delete(fingerprint);
  }

  /**
   * Records that a leaf answered a query, which clears the query.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  recordAnswer(fingerprint: string): void {
    const nowMs = this.#options.nowMs();
    this.#recentAnswers.add(fingerprint, nowMs);
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.standing === "cleared") {
      return;
    }
    if (shouldPublish(record)) {
      this.#set(clearRecord(record, nowMs), "own");
    } else {
      this.#records.delete(fingerprint);
    }
  }

  /**
   * Records that a leaf crashed while running a query.
   *
   * @param crash - The query, and whether the call was a trial.
   */
  recordCrash({ fingerprint, isTrial }: CrashedCall): void {
    const nowMs = this.#options.nowMs();
    if (this.#recentAnswers.has(fingerprint, nowMs)) {
      return;
    }
    const record = this.#records.get(fingerprint);
    this.#set(recordLeafCrash(record, { fingerprint, isTrial, nowMs }), "own");
  }

  /**
   * Records that a request ended without an answer from any leaf. The query is then published even
   * after a single crash, as a request to a single leaf may not cause more at one box.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  recordFailedRequest(fingerprint: string): void {
    const record = this.#records.get(fingerprint);
    if (record?.standing === "suspected" && !record.hasFailed) {
      this.#set({ ...record, hasFailed: true }, "own");
    }
  }

  /**
   * Applies records reported by another box or the store.
   *
   * @param reports - Reported crash records.
   * @returns Whether any of them changed a record.
   */
  applyReports(reports: ReadonlyArray<ReportedCrashes>): boolean {
    const nowMs = this.#options.nowMs();
    return reports.filter((each) => this.#applyReport(each, nowMs)).length > 0;
  }

  /**
   * Marks a query as suspected because another box blocks it, before that box's report arrives.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  applyRemoteBlock(fingerprint: string): void {
    const evidence = {
      lostLeafs: MIN_PUBLISHED_CRASHES,
      lostTrials: 0,
      suspectedAgoMs: 0,
      changedAgoMs: 0,
    };
    this.applyReports([{ fingerprint, standing: "suspected", ...evidence }]);
  }

  /** Applies one report. A query that was recently answered here is cleared instead. */
  #applyReport(report: ReportedCrashes, nowMs: number): boolean {
    const own = this.#records.get(report.fingerprint);
    const merged = mergeReported(own, report, nowMs);
    const isRetained = nowMs - merged.changedAtMs < RETENTION_MS[merged.standing];
    if (merged === own || !isRetained) {
      return false;
    }
    const isAnswered = this.#recentAnswers.has(report.fingerprint, nowMs);
    if (merged.standing !== "cleared" && isAnswered) {
      this.#set(clearRecord(merged, nowMs), "own");
    } else {
      this.#set(merged, "reported");
    }
    return true;
  }

  /**
   * Selects the records to publish to other boxes. If there are more than `maxCount`, most of the
   * selected records are the latest changes; the others are chosen at random, so that each record
   * is published eventually.
   *
   * @param maxCount - Maximum number of records.
   * @returns The records to publish.
   */
  selectReports(maxCount: number): ReadonlyArray<ReportedCrashes> {
    if (this.#records.isEmpty) {
      return [];
    }
    const all = this.#records.current().filter(shouldPublish);
    const nowMs = this.#options.nowMs();
    return selectForPublishing(all, maxCount).map((record) => toReportedCrashes(record, nowMs));
  }

  /** Returns all current records. */
  records(): ReadonlyArray<CrashRecord> {
    return this.#records.current();
  }

  /**
   * Clears a query on request of an operator.
   *
   * @param fingerprint - Fingerprint of the query.
   * @returns Whether the query was suspected or quarantined.
   */
  clear(fingerprint: string): boolean {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.standing === "cleared") {
      return false;
    }
    this.#set(clearRecord(record, this.#options.nowMs()), "own");
    return true;
  }

  #isTrialInFlight(fingerprint: string, nowMs: number): boolean {
    const startedAtMs = this.#trialStarts.get(fingerprint);
    return startedAtMs !== undefined && nowMs - startedAtMs < MAX_TRIAL_MS;
  }

  #set(record: CrashRecord, source: QuarantineChange["source"]): void {
    const before = this.#records.get(record.fingerprint);
    this.#records.set(record);
    this.#options.onChange({
      record,
      before,
      source,
      publishNow: shouldPublishNow(record, before),
    });
  }
}

function isBlocked({ standing, changedAtMs }: CrashRecord, nowMs: number): boolean {
  return standing === "quarantined" && nowMs - changedAtMs < QUARANTINE_MS;
}
