/**
 * Counts how calls to the target version and to the baseline of one order end on this box.
 *
 * @module
 */
import type { AnswerCounts, RolloutReport, StorePosition } from "../model/mod.js";
import type { VersionCallEnd } from "./version_access.js";

/** Side of the comparison that a call belongs to. */
export type VersionSide = "target" | "baseline";

/** Options of {@link VersionEvidence}. */
export interface VersionEvidenceOptions {
  readonly box: string;
  readonly incarnation: string;
  readonly service: string;
  readonly orderPosition: StorePosition;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
}

/** Parts of a report that are decided elsewhere. */
export type ReportedDecisions = Pick<RolloutReport, "confirmedAttempt" | "isBad">;

type MutableCounts = { -readonly [Key in keyof AnswerCounts]: AnswerCounts[Key] };

/** Counters of one route, and what answers are compared with. */
interface RouteCounts extends Record<VersionSide, MutableCounts> {
  /** Times of the last baseline answers, the oldest replaced first, in milliseconds. */
  readonly baselineMs: Array<number>;
  /** Number of baseline times recorded so far, including replaced ones. */
  baselineAnswers: number;
}

/** Number of latest baseline answers whose median time is the reference for slow answers. */
const COMPARED_ANSWERS = 32;

/** Minimum number of baseline answers without which no answer counts as slow. */
const MIN_COMPARED_ANSWERS = 5;

/**
 * An answer is slow beyond this multiple of the median, plus {@link SLOW_EXTRA_MS}. Bad versions take
 * several times as long, while queueing at a busy leaf about doubles the time.
 */
const SLOW_FACTOR = 2.5;

/** Tolerance for variations of short calls, in milliseconds. */
const SLOW_EXTRA_MS = 8;

/** Maximum number of reported leafs; enough to tell whether a single leaf fails. */
const MAX_FAILED_LEAFS = 3;

/** Limits memory; further routes are counted together under an empty name. */
const MAX_ROUTES = 64;

/** Limits memory, for queries as well as for leafs; the oldest entry is forgotten first. */
const MAX_CLOSED_QUERIES = 1_000;

/**
 * Connections that a leaf closes within this time without an answer in between are counted as one,
 * as a crash also closes the connections of other queries.
 */
const SAME_CRASH_MS = 100;

/** Counts what this incarnation of the box has seen of one order. The counters only grow. */
export class VersionEvidence {
  readonly #options: VersionEvidenceOptions;
  readonly #routes = new Map<string, RouteCounts>();
  readonly #failedLeafs = new Set<string>();
  /** Side and fingerprint of queries for which a closed connection was counted. */
  readonly #closedQueries = new Set<string>();
  /** Leafs that have closed a connection and have not answered since, and when. */
  readonly #closedAtMs = new Map<string, number>();
  #requests = 0;
  #targetCalls = 0;

  /**
   * @param options - The box and the order.
   */
  constructor(options: VersionEvidenceOptions) {
    this.#options = options;
  }

  /** First calls to the service that were recorded. */
  get requests(): number {
    return this.#requests;
  }

  /** Calls to the target version that were recorded. */
  get targetCalls(): number {
    return this.#targetCalls;
  }

  /** Records the first call of a request to the service. */
  recordRequest(): void {
    this.#requests += 1;
  }

  /** Records a call to the target version. */
  recordTargetCall(): void {
    this.#targetCalls += 1;
  }

  /**
   * Records the end of a call.
   *
   * @param end - How it ended.
   * @param side - Whether it was sent to the target version or to the baseline.
   */
  recordCallEnd(end: VersionCallEnd, side: VersionSide): void {
    if (end.isSuspected || end.result === "refused") {
      return;
    }
    const counts = this.#countsOf(end.route);
    if (end.result === "answered" || end.result === "abandoned") {
      this.#recordTime(end, side, counts);
    }
    if (end.result === "answered" || end.result === "failed") {
      this.#closedAtMs.delete(end.leaf.leafId);
    }
    const isFailed =
      end.result === "failed" ||
      (end.result === "connectionClosed" && this.#isNewClosure(end, side));
    if (isFailed) {
      counts[side].failed += 1;
      this.#addFailedLeaf(end, side);
    }
    counts[side].answers += isFailed || end.result === "answered" ? 1 : 0;
  }

  /**
   * Returns the counters so far.
   *
   * @param decisions - What the box has decided about the order.
   * @returns The report. `answers` includes failed calls.
   */
  snapshot({ confirmedAttempt, isBad }: ReportedDecisions): RolloutReport {
    const { box, incarnation, orderPosition, service } = this.#options;
    const routes = [...this.#routes].map(([route, { baseline, target }]) => ({
      route,
      target: { ...target },
      baseline: { ...baseline },
    }));
    return {
      box,
      incarnation,
      service,
      orderPosition,
      requests: this.#requests,
      targetCalls: this.#targetCalls,
      routes,
      failedLeafs: [...this.#failedLeafs],
      confirmedAttempt,
      isBad,
    };
  }

  /** Compares the time of an answer, or of an abandoned call, with the baseline of its route. */
  #recordTime(end: VersionCallEnd, side: VersionSide, counts: RouteCounts): void {
    if (end.isCold || end.isRemote) {
      return;
    }
    const thresholdMs = slowThresholdMs(counts.baselineMs);
    const isSlow = end.elapsedMs > thresholdMs;
    const isTimed = thresholdMs !== Infinity && (isSlow || end.result === "answered");
    counts[side].timed += isTimed ? 1 : 0;
    if (isSlow) {
      counts[side].slow += 1;
      this.#addFailedLeaf(end, side);
    }
    if (side === "baseline" && (end.result === "answered" || isSlow)) {
      counts.baselineMs[counts.baselineAnswers % COMPARED_ANSWERS] = end.elapsedMs;
      counts.baselineAnswers += 1;
    }
  }

  #addFailedLeaf({ leaf }: VersionCallEnd, side: VersionSide): void {
    if (side === "target" && this.#failedLeafs.size < MAX_FAILED_LEAFS) {
      this.#failedLeafs.add(leaf.leafId);
    }
  }

  /** Returns whether a closed connection is the first one of its query and of a crash. */
  #isNewClosure({ fingerprint, leaf }: VersionCallEnd, side: VersionSide): boolean {
    const nowMs = this.#options.nowMs();
    const key = `${side} ${fingerprint}`;
    if (this.#closedQueries.has(key)) {
      return false;
    }
    this.#closedQueries.add(key);
    deleteOldest(this.#closedQueries, MAX_CLOSED_QUERIES);
    const closedAtMs = this.#closedAtMs.get(leaf.leafId) ?? -Infinity;
    if (nowMs - closedAtMs <= SAME_CRASH_MS) {
      return false;
    }
    this.#closedAtMs.set(leaf.leafId, nowMs);
    deleteOldest(this.#closedAtMs, MAX_CLOSED_QUERIES);
    return true;
  }

  #countsOf(route: string): RouteCounts {
    const known = this.#routes.get(route);
    if (known !== undefined) {
      return known;
    }
    if (this.#routes.size >= MAX_ROUTES && route !== "") {
      return this.#countsOf("");
    }
    const counts = {
      target: { answers: 0, failed: 0, slow: 0, timed: 0 },
      baseline: { answers: 0, failed: 0, slow: 0, timed: 0 },
      baselineMs: [],
      baselineAnswers: 0,
    };
    this.#routes.set(route, counts);
    return counts;
  }
}

/** Returns the time beyond which an answer is slow; infinity while the baseline is not known. */
function slowThresholdMs(baselineMs: ReadonlyArray<number>): number {
  if (baselineMs.length < MIN_COMPARED_ANSWERS) {
    return Infinity;
  }
  const sorted = [...baselineMs].sort((a, b) => a - b);
  return SLOW_FACTOR * (sorted[Math.floor(sorted.length / 2)] ?? Infinity) + SLOW_EXTRA_MS;
}

/** Deletes the oldest entry of a set or map that exceeds its maximum size. */
function deleteOldest(
  entries: { readonly size: number; keys(): Iterator<string>; delete(key: string): boolean },
  maxSize: number,
): void {
  const oldest = entries.keys().next();
  if (entries.size > maxSize && oldest.done !== true) {
    entries.delete(oldest.value);
  }
}
