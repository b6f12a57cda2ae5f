/**
 * Rate of bad answers of the baseline during the last seconds.
 *
 * @module
 */

/** Cumulative counters of the baseline. */
export interface BaselineCounts {
  readonly bad: number;
  readonly total: number;
}

interface Increment extends BaselineCounts {
  readonly atMs: number;
}

/** Time over which recent answers are considered, in milliseconds. */
const RECENT_MS = 5_000;

/** Increments within this time are combined, which limits memory, in milliseconds. */
const STEP_MS = 250;

/**
 * Weight of the assumed rate against the measured one, in answers. With 5, a fault of both versions
 * was noticed later at the baseline, and more good versions were judged as bad.
 */
const ASSUMED_ANSWERS = 3;

/**
 * Maximum weight of the answers before {@link RECENT_MS}, in answers; newer ones displace older.
 */
const MAX_EARLIER_ANSWERS = 200;

const NO_COUNTS: BaselineCounts = { bad: 0, total: 0 };

/** Rate of bad answers of the baseline on one route. */
export class BaselineRate {
  /** Counters at the last update. */
  #counted: BaselineCounts = NO_COUNTS;
  #recent: ReadonlyArray<Increment> = [];
  /** Answers before {@link RECENT_MS}, scaled down to their maximum weight. */
  #earlier: BaselineCounts = NO_COUNTS;

  /**
   * Applies what the counters have grown by.
   *
   * @param counts - Cumulative counters.
   * @param nowMs - Current time, in milliseconds.
   */
  update(counts: BaselineCounts, nowMs: number): void {
    this.#forgetBefore(nowMs - RECENT_MS);
    const bad = Math.max(0, counts.bad - this.#counted.bad);
    const total = Math.max(bad, counts.total - this.#counted.total);
    this.#counted = counts;
    if (total === 0) {
      return;
    }
    const last = this.#recent.at(-1);
    this.#recent =
      last !== undefined && nowMs - last.atMs < STEP_MS
        ? [...this.#recent.slice(0, -1), { ...add(last, { bad, total }), atMs: last.atMs }]
        : [...this.#recent, { bad, total, atMs: nowMs }];
  }

  /**
   * Returns the highest rate of bad answers over any run of the latest answers within the last
   * seconds. A mean over all of these would follow a sudden fault of both versions too late, and
   * the target would be judged as bad for it.
   *
   * @param nowMs - Current time, in milliseconds.
   * @returns The rate, 0 to 1; near to what was known before if there are few recent answers.
   */
  rate(nowMs: number): number {
    this.#forgetBefore(nowMs - RECENT_MS);
    const recentRate = shrunkRate(this.#recent.reduce(add, NO_COUNTS), rateOf(this.#earlier));
    let last = NO_COUNTS;
    let highest = recentRate;
    for (const increment of this.#recent.toReversed()) {
      last = add(last, increment);
      highest = Math.max(highest, shrunkRate(last, recentRate));
    }
    return highest;
  }

  #forgetBefore(timeMs: number): void {
    if ((this.#recent[0]?.atMs ?? Infinity) >= timeMs) {
      return;
    }
    const expired = this.#recent.filter(({ atMs }) => atMs < timeMs);
    this.#recent = this.#recent.filter(({ atMs }) => atMs >= timeMs);
    const sum = expired.reduce(add, this.#earlier);
    const factor = Math.min(1, MAX_EARLIER_ANSWERS / sum.total);
    this.#earlier = { bad: sum.bad * factor, total: sum.total * factor };
  }
}

function rateOf({ bad, total }: BaselineCounts): number {
  return total === 0 ? 0 : bad / total;
}

/** Returns a rate that is near to an assumed one if there are few answers. */
function shrunkRate({ bad, total }: BaselineCounts, assumedRate: number): number {
  return (bad + ASSUMED_ANSWERS * assumedRate) / (total + ASSUMED_ANSWERS);
}

function add(one: BaselineCounts, other: BaselineCounts): BaselineCounts {
  return { bad: one.bad + other.bad, total: one.total + other.total };
}
