/**
 * Scores what callers receive. A query earns credit only with the answer to its first attempt.
 *
 * @module
 */
import type { QueryKind } from "./load_pattern.js";

/** Credit of an answer past its latency objective, as a share of the credit of one on time. */
const LATE_CREDIT_SHARE = 0.1;

/** Penalty for a retry that is not answered, as a share of the query's worth. */
const FAILED_RETRY_PENALTY_SHARE = 0.3;

/** Share of its deadline after which an unanswered attempt is penalized by the query's entire worth. */
const FULL_PENALTY_DEADLINE_SHARE = 0.75;

/** Result of a caller's attempt. */
export interface AttemptResult {
  readonly kind: "answered" | "refused" | "failed";
  /** Share of the shards that the answer includes, 0 to 1. */
  readonly coverage: number;
  /** Time since the first attempt arrived, in milliseconds. */
  readonly totalMs: number;
  /** Time since this attempt arrived, in milliseconds. */
  readonly durationMs: number;
  readonly isRetry: boolean;
}

/** Counts and score of one kind of query. */
export interface KindTally {
  received: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Worth earned, less penalties. */
  earned: number;
  /** Worth of all queries received. */
  possible: number;
  /** Time spent on attempts that were not answered, in milliseconds. */
  wastedMs: number;
}

/** Counts and score by kind of query. */
export class ReplayScore {
  readonly #tallies = new Map<string, KindTally>();

  /** Counts by name of the kind. */
  get tallies(): ReadonlyMap<string, Readonly<KindTally>> {
    return this.#tallies;
  }

  /** Share of the possible worth that was earned, over all kinds. */
  get worth(): number {
    const all = [...this.#tallies.values()];
    const earned = all.reduce((sum, tally) => sum + tally.earned, 0);
    return (
      earned /
      Math.max(
        1,
        all.reduce((sum, tally) => sum + tally.possible, 0),
      )
    );
  }

  /**
   * Records the arrival of a caller's first attempt.
   *
   * @param kind - Kind of the query.
   */
  recordArrival(kind: QueryKind): void {
    const tally = this.#tallyOf(kind);
    tally.received += 1;
    tally.possible += kind.worth;
  }

  /**
   * Records the result of an attempt. An answer to a retry always counts as late.
   *
   * @param kind - Kind of the query.
   * @param result - Result of the attempt.
   */
  recordResult(kind: QueryKind, result: AttemptResult): void {
    RESULT_HANDLERS[result.kind](this.#tallyOf(kind), kind, result);
  }

  #tallyOf({ name }: QueryKind): KindTally {
    const existing = this.#tallies.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created = { ...{ received: 0, onTime: 0, late: 0, refused: 0, failed: 0 }, ...NO_SCORE };
    this.#tallies.set(name, created);
    return created;
  }
}

const NO_SCORE = { earned: 0, possible: 0, wastedMs: 0 } as const;

type ResultHandler = (tally: KindTally, kind: QueryKind, result: AttemptResult) => void;

const RESULT_HANDLERS: Readonly<Record<AttemptResult["kind"], ResultHandler>> = {
  answered: (tally, { aimMs, worth }, { coverage, isRetry, totalMs }) => {
    if (totalMs <= aimMs && !isRetry) {
      tally.onTime += 1;
      tally.earned += worth * coverage ** 2;
    } else {
      tally.late += 1;
      tally.earned += isRetry ? 0 : worth * LATE_CREDIT_SHARE * coverage ** 2;
    }
  },
  refused: (tally, kind, result) => {
    tally.refused += 1;
    applyPenalty(tally, kind, result);
  },
  failed: (tally, kind, result) => {
    tally.failed += 1;
    applyPenalty(tally, kind, result);
  },
};

function applyPenalty(
  tally: KindTally,
  kind: QueryKind,
  { durationMs, isRetry }: AttemptResult,
): void {
  tally.wastedMs += durationMs;
  const durationShare = Math.min(1, durationMs / (kind.deadlineMs * FULL_PENALTY_DEADLINE_SHARE));
  tally.earned -= kind.worth * (durationShare + (isRetry ? FAILED_RETRY_PENALTY_SHARE : 0));
}
