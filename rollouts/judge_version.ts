/**
 * Judges the target version of a rollout by the increments of its counters.
 *
 * @module
 */
import type { AnswerCounts, RouteEvidence } from "../model/mod.js";
import { BaselineRate } from "./baseline_rate.js";
import type { RolloutTotals } from "./report_table.js";

/** Way in which a version is bad: it fails too often, or it is much slower than the baseline. */
export type VersionFault = "failing" | "slow";

/** Why a version was judged as bad. */
export interface BadVerdict {
  readonly kind: "bad";
  readonly route: string;
  readonly fault: VersionFault;
  /** Failed or slow answers of the target version on the route. */
  readonly failed: number;
  /** Answers of the target version on the route that were counted for this fault. */
  readonly answers: number;
}

/** Verdict on a version. */
export type VersionVerdict = { readonly kind: "undecided" } | BadVerdict;

/** What a verdict depends on beside the counters. */
export interface JudgeContext {
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  /** Number of leafs of the target version. */
  readonly targetLeafCount: number;
}

/** How one kind of fault is tested. */
interface FaultTest {
  /** Bad answers and all answers that the test is about. */
  readonly countsOf: (counts: AnswerCounts) => Trials;
  /** Rate of bad answers of a good version, by the rate of the baseline. */
  readonly goodRate: (baselineRate: number) => number;
  /** Rate of bad answers of a bad version, by the rate of a good one. */
  readonly badRate: (goodRate: number) => number;
}

/** Number of bad answers and of all answers. */
interface Trials {
  readonly bad: number;
  readonly total: number;
}

/** Progress of the test for one fault on one route. */
interface TestState {
  readonly baseline: BaselineRate;
  /** Answers of the target that the sum already includes. */
  counted: Trials;
  /** Cumulative sum of the log-likelihood ratios; never below 0. */
  sum: number;
  /** Bad answers since the sum was last 0. */
  badInRun: number;
}

/**
 * The tests of each fault. A bad version fails at least a quarter of its answers, or is slow on most
 * of them; a good one also fails a few and is slow now and then, as leafs pause.
 */
const FAULT_TESTS: Readonly<Record<VersionFault, FaultTest>> = {
  failing: {
    countsOf: ({ answers, failed }) => ({ bad: failed, total: answers }),
    goodRate: (baselineRate) => Math.max(0.02, baselineRate),
    badRate: (goodRate) => Math.min(0.95, Math.max(0.25, 3 * goodRate + 0.1)),
  },
  slow: {
    countsOf: ({ slow, timed }) => ({ bad: slow, total: timed }),
    goodRate: (baselineRate) => Math.max(0.1, baselineRate),
    badRate: (goodRate) => Math.min(0.95, Math.max(0.6, 2 * goodRate)),
  },
};

const FAULTS: ReadonlyArray<VersionFault> = ["failing", "slow"];

/**
 * Sum of the log-likelihood ratios above which a version is judged as bad: its answers are then
 * 1,000 times as likely from a bad version as from a good one.
 */
const MAX_SUM = Math.log(1_000);

/**
 * Number of bad answers from which on they count against the version even if one leaf gave them.
 */
const BAD_ANSWERS_OF_ONE_LEAF = 12;

/**
 * Time from the first update until the number of leafs counts, in milliseconds. New leafs arrive in
 * batches 500 ms apart; a good version was rolled back after one crash of its first leaf, as its
 * second one was not known yet.
 */
const LEAFS_KNOWN_AFTER_MS = 1_000;

const UNDECIDED: VersionVerdict = { kind: "undecided" };

/**
 * Judges one target version with a cumulative-sum test for each route and fault. The sum of the
 * log-likelihood ratios is never below 0, so earlier good answers do not hide a later fault.
 *
 * Source: Page, "Continuous Inspection Schemes", 1954.
 */
export class VersionJudge {
  readonly #states = new Map<string, TestState>();
  #verdict = UNDECIDED;
  #firstUpdateAtMs: number | undefined;

  /**
   * Applies what the counters have grown by since the last update.
   *
   * @param totals - Counters of one box, or their sum over all boxes.
   * @param context - What the verdict depends on beside the counters.
   * @returns The verdict; once it is bad, it stays the same.
   */
  update(
    { failedLeafs, routes }: Pick<RolloutTotals, "failedLeafs" | "routes">,
    { nowMs, targetLeafCount }: JudgeContext,
  ): VersionVerdict {
    if (this.#verdict.kind === "bad") {
      return this.#verdict;
    }
    this.#firstUpdateAtMs ??= nowMs;
    const hasOneLeaf =
      targetLeafCount <= 1 && nowMs - this.#firstUpdateAtMs >= LEAFS_KNOWN_AFTER_MS;
    for (const evidence of routes) {
      for (const fault of FAULTS) {
        const state = this.#apply(evidence, fault, nowMs);
        const isVersionFault =
          hasOneLeaf || state.badInRun >= BAD_ANSWERS_OF_ONE_LEAF || failedLeafs.length > 1;
        if (state.sum > MAX_SUM && isVersionFault && this.#verdict.kind === "undecided") {
          const { bad, total } = state.counted;
          this.#verdict = {
            kind: "bad",
            route: evidence.route,
            fault,
            failed: bad,
            answers: total,
          };
        }
      }
    }
    return this.#verdict;
  }

  /**
   * Applies the counters of one route to the test for one fault. The baseline is applied first, as
   * a fault of both sides must not count against the target.
   */
  #apply(
    { baseline, route, target }: RouteEvidence,
    fault: VersionFault,
    nowMs: number,
  ): TestState {
    const test = FAULT_TESTS[fault];
    const key = `${fault} ${route}`;
    const state = this.#states.get(key) ?? {
      baseline: new BaselineRate(),
      counted: { bad: 0, total: 0 },
      sum: 0,
      badInRun: 0,
    };
    this.#states.set(key, state);
    state.baseline.update(test.countsOf(baseline), nowMs);
    const counted = test.countsOf(target);
    const bad = Math.max(0, counted.bad - state.counted.bad);
    const good = Math.max(0, counted.total - state.counted.total - bad);
    const goodRate = test.goodRate(state.baseline.rate(nowMs));
    const badRate = test.badRate(goodRate);
    if (goodRate < badRate) {
      addIncrement(state, { bad, good }, { goodRate, badRate });
    }
    state.counted = counted;
    return state;
  }
}

/**
 * Adds the answers of one step, whose order is unknown. The good answers are spread evenly before
 * the bad ones: to add all bad answers first would hide a fault, and to add them all last would
 * judge a good version as bad after a long step.
 */
function addIncrement(
  state: TestState,
  { bad, good }: { readonly bad: number; readonly good: number },
  { badRate, goodRate }: { readonly goodRate: number; readonly badRate: number },
): void {
  const badWeight = Math.log(badRate / goodRate);
  const goodWeight = Math.log((1 - goodRate) / (1 - badRate));
  if (bad === 0) {
    state.sum = Math.max(0, state.sum - good * goodWeight);
    state.badInRun = state.sum === 0 ? 0 : state.badInRun;
    return;
  }
  // Decrease by the good answers before each bad one.
  const decrease = (good / bad) * goodWeight;
  const sumAfterFirst = Math.max(0, state.sum - decrease) + badWeight;
  const sumAfterLast = sumAfterFirst + (bad - 1) * (badWeight - decrease);
  const badBefore = state.sum > decrease ? state.badInRun : 0;
  state.sum = Math.max(badWeight, sumAfterLast);
  state.badInRun = sumAfterLast > badWeight || bad === 1 ? badBefore + bad : 1;
}
