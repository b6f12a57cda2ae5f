/**
 * Keeps queries that end leafs away from them.
 *
 * The load pattern: one query ends each leaf that begins to run it, and comes again every few seconds, at any
 * box, under another id. Sent on as others are, it took all 40 leafs of an index four times in a row, and
 * every other query with them. From the first loss without an answer its calls go one at a time; two of those
 * lost, and no box sends it any more.
 *
 * @module
 */
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

/** How a query's next call may go. */
export type CallPermission =
  /** Like any other. */
  | "unrestricted"
  /** As the only one of the query that this box sends until it has ended. */
  | "exclusive"
  /** Not yet: such a call is under way. */
  | "deferred"
  /** Not at all for now. */
  | "blocked";

/**
 * Time after the first loss for which any box may try a suspect that has lost three leafs, in milliseconds. All
 * boxes know of it by then, and later trials, of which every box could make one, are left to one box. With
 * fewer losses any box may try it at any time: a lookup that lost its leaf would else be refused at six of
 * seven boxes when its caller asks again some seconds later.
 */
const TRIAL_ANYWHERE_MS = 1_500;

/** Time after which a trial counts as ended whatever became of it, in milliseconds; above any deadline. */
const LONGEST_TRIAL_MS = 10_000;

/**
 * Time for which a query is not sent at all, in milliseconds; after that one box may try it again. A leaf
 * of 40 that is lost for some seconds every ten minutes is borne; a query that has been mended waits no
 * longer.
 */
const QUARANTINE_MS = 600_000;

/**
 * Most records kept; the oldest go first. Far above the few queries that ever end leafs, and some 100 bytes
 * each.
 */
const MOST_RECORDS = 512;

/** When the caller of a suspect may come back, in milliseconds: a trial takes about a tenth of that. */
const SUSPECT_RETRY_MS = 1_000;

/** A change of what is believed of a query. */
export interface QuarantineChange {
  readonly record: CrashRecord;
  readonly before: CrashRecord | undefined;
  /** What changed it: what this box saw, or what it was told. */
  readonly source: "own" | "reported";
  /** Whether other boxes are to know. */
  readonly publishNow: boolean;
}

/** What the quarantine needs of its box. */
export interface QuarantineOptions {
  readonly nowMs: () => number;
  /** Tells whether this box is the one that may try a suspect later on. */
  readonly isTrialBox: (fingerprint: string) => boolean;
  /** Told after each change. */
  readonly onChange: (change: QuarantineChange) => void;
}

/** A leaf that was lost under a query. */
export interface CrashedCall {
  readonly fingerprint: string;
  readonly isTrial: boolean;
}

/** The queries that end leafs, as one box knows them. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  /** In the order of their last change. */
  readonly #records = new Map<string, CrashRecord>();
  readonly #answers = new RecentAnswers();
  /** When the trial that is under way began, by query. */
  readonly #trials = new Map<string, number>();

  /**
   * @param options - What the quarantine needs of its box.
   */
  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  /**
   * Tells how the next call of a query may go. To be asked right before each call.
   *
   * @param fingerprint - The query.
   * @returns How it may go.
   */
  permission(fingerprint: string): CallPermission {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.standing === "cleared") {
      return "unrestricted";
    }
    const nowMs = this.#options.nowMs();
    if (isBarred(record, nowMs)) {
      return "blocked";
    }
    if (this.#isTried(fingerprint, nowMs)) {
      return "deferred";
    }
    const isYoung = nowMs - record.suspectedAtMs < TRIAL_ANYWHERE_MS;
    const isWeak = record.lostLeafs < MIN_CRASHED_LEAFS;
    return isYoung || isWeak || this.#options.isTrialBox(fingerprint) ? "exclusive" : "blocked";
  }

  /**
   * Tells when a query that is held may come back.
   *
   * @param fingerprint - The query.
   * @returns The time from now, in milliseconds.
   */
  retryAfterMs(fingerprint: string): number {
    const record = this.#records.get(fingerprint);
    const nowMs = this.#options.nowMs();
    return record !== undefined && isBarred(record, nowMs)
      ? record.changedAtMs + QUARANTINE_MS - nowMs
      : SUSPECT_RETRY_MS;
  }

  /**
   * Claims the only call of a suspect that may be under way here.
   *
   * @param fingerprint - The query.
   */
  beginTrial(fingerprint: string): void {
    this.#trials.set(fingerprint, this.#options.nowMs());
  }

  /**
   * Gives it back, as the call has ended.
   *
   * @param fingerprint - The query.
   */
  endTrial(fingerprint: string): void {
    this.#trials.delete(fingerprint);
  }

  /**
   * Notes that a leaf has run a query and answered, by which it is cleared.
   *
   * @param fingerprint - The query.
   */
  recordAnswer(fingerprint: string): void {
    const nowMs = this.#options.nowMs();
    this.#answers.add(fingerprint, nowMs);
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
   * Notes that a leaf was lost under a query.
   *
   * @param lost - The query, and whether the leaf was asked alone.
   */
  recordCrash({ fingerprint, isTrial }: CrashedCall): void {
    const nowMs = this.#options.nowMs();
    if (this.#answers.has(fingerprint, nowMs)) {
      return;
    }
    const record = this.#records.get(fingerprint);
    this.#set(recordLeafCrash(record, { fingerprint, isTrial, nowMs }), "own");
  }

  /**
   * Notes that a request has ended without any answer of a leaf. One that is sent to a single leaf loses no
   * more than that, so other boxes would each lose one as well before they knew.
   *
   * @param fingerprint - The query.
   */
  recordFailedRequest(fingerprint: string): void {
    const record = this.#records.get(fingerprint);
    if (record?.standing === "suspected" && !record.hasFailed) {
      this.#set({ ...record, hasFailed: true }, "own");
    }
  }

  /**
   * Takes in what another box, or the store, tells.
   *
   * @param told - Queries under which leafs were lost.
   * @returns Whether any of it was new.
   */
  applyReports(told: ReadonlyArray<ReportedCrashes>): boolean {
    const nowMs = this.#options.nowMs();
    return told.filter((each) => this.#hearOne(each, nowMs)).length > 0;
  }

  /**
   * Takes in that another box does not send a query; its news is still on the way.
   *
   * @param fingerprint - The query.
   */
  applyRemoteBlock(fingerprint: string): void {
    const seen = {
      lostLeafs: MIN_PUBLISHED_CRASHES,
      lostTrials: 0,
      suspectedAgoMs: 0,
      changedAgoMs: 0,
    };
    this.applyReports([{ fingerprint, standing: "suspected", ...seen }]);
  }

  /** A query that was answered here of late is cleared: the other box could not know of it. */
  #hearOne(told: ReportedCrashes, nowMs: number): boolean {
    const own = this.#records.get(told.fingerprint);
    const merged = mergeReported(own, told, nowMs);
    const isKept = nowMs - merged.changedAtMs < RETENTION_MS[merged.standing];
    if (merged === own || !isKept) {
      return false;
    }
    const isAnswered = this.#answers.has(told.fingerprint, nowMs);
    if (merged.standing !== "cleared" && isAnswered) {
      this.#set(clearRecord(merged, nowMs), "own");
    } else {
      this.#set(merged, "reported");
    }
    return true;
  }

  /**
   * Lists what other boxes are to know.
   *
   * @param most - Most records. Where there are more, the latest changes fill three quarters, the rest others
   *   by chance, so that each is told in the end.
   * @returns What they are told.
   */
  selectReports(most: number): ReadonlyArray<ReportedCrashes> {
    if (this.#records.size === 0) {
      return [];
    }
    this.#dropOld();
    const nowMs = this.#options.nowMs();
    const all = [...this.#records.values()].filter(shouldPublish);
    return selectForPublishing(all, most).map((record) => toReportedCrashes(record, nowMs));
  }

  /** What is believed of queries at this moment. */
  records(): ReadonlyArray<CrashRecord> {
    this.#dropOld();
    return [...this.#records.values()];
  }

  /**
   * Clears a query by an operator's word.
   *
   * @param fingerprint - The query.
   * @returns Whether there was anything to clear.
   */
  clear(fingerprint: string): boolean {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.standing === "cleared") {
      return false;
    }
    this.#set(clearRecord(record, this.#options.nowMs()), "own");
    return true;
  }

  #isTried(fingerprint: string, nowMs: number): boolean {
    const beganAtMs = this.#trials.get(fingerprint);
    return beganAtMs !== undefined && nowMs - beganAtMs < LONGEST_TRIAL_MS;
  }

  #set(record: CrashRecord, source: QuarantineChange["source"]): void {
    const { fingerprint } = record;
    const before = this.#records.get(fingerprint);
    // Anew, so that the map is in the order of changes.
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    this.#dropSurplus();
    this.#options.onChange({
      record,
      before,
      source,
      publishNow: shouldPublishNow(record, before),
    });
  }

  #dropOld(): void {
    const nowMs = this.#options.nowMs();
    for (const [fingerprint, { standing, changedAtMs }] of this.#records) {
      if (nowMs - changedAtMs >= RETENTION_MS[standing]) {
        this.#records.delete(fingerprint);
      }
    }
  }

  /** Suspects go before queries that are quarantined: what is proved is dearer to learn again. */
  #dropSurplus(): void {
    if (this.#records.size <= MOST_RECORDS) {
      return;
    }
    this.#dropOld();
    const all = [...this.#records.values()];
    const oldest = all.find(({ standing }) => standing !== "quarantined") ?? all[0];
    if (this.#records.size > MOST_RECORDS && oldest !== undefined) {
      this.#records.delete(oldest.fingerprint);
    }
  }
}

function isBarred({ standing, changedAtMs }: CrashRecord, nowMs: number): boolean {
  return standing === "quarantined" && nowMs - changedAtMs < QUARANTINE_MS;
}
