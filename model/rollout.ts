/**
 * Rollouts: orders of operators to move a service's traffic to leafs of another version.
 *
 * @module
 */
import type { StorePosition } from "./store_position.js";

/** State of an order; all but `running` are final. */
export type RolloutState = "running" | "completed" | "rolledBack";

/**
 * Stage of a running order: a bounded share of the calls goes to the target version, or all new
 * calls do.
 */
export type RolloutStage = "gradual" | "switching";

/** An order, and what is known about its progress. */
export interface Rollout {
  readonly service: string;
  readonly targetVersion: string;
  /** Time after the order by which it should be final, in milliseconds. */
  readonly durationMs: number;
  /** Store position at which the order was written; identifies the order. */
  readonly orderPosition: StorePosition;
  /** Earliest known time of the order, on this box's clock, in milliseconds. */
  readonly orderedAtMs: number;
  readonly state: RolloutState;
  /** Number of attempts to switch all traffic that the store has recorded. */
  readonly attempt: number;
  readonly stage: RolloutStage;
  /** Whether any box has judged the target version as bad. */
  readonly isBad: boolean;
  /** Versions that receive no calls until a later order names them. */
  readonly retiredVersions: ReadonlyArray<string>;
}

/** The orders that a box knows, by which other boxes update theirs. */
export interface RolloutUpdate {
  /** Store position up to which the sender has applied orders. */
  readonly position: StorePosition;
  readonly rollouts: ReadonlyArray<Rollout>;
}

/** Bounds of rollouts from the settings. */
export interface RolloutBounds {
  /** Share of a service's requests that a version may receive before its completion, 0 to 1. */
  readonly exposureShare: number;
  /** Calls to the version that are allowed in addition, over all boxes. */
  readonly exposureSlackCalls: number;
  /** Time after its 50th bad answer by which a version receives no more calls, in milliseconds. */
  readonly rollbackMs: number;
}

/** Answers of one version on one route. The counters only grow. */
export interface AnswerCounts {
  /** Answers, and all calls that are counted as failed. */
  readonly answers: number;
  /** Answers that failed, and calls that ended without an answer. */
  readonly failed: number;
  /** Answers and abandoned calls that took much longer than answers of the baseline. */
  readonly slow: number;
  /** Answers that were compared with the times of the baseline, and slow abandoned calls. */
  readonly timed: number;
}

/** Answers of both sides on one route. */
export interface RouteEvidence {
  readonly route: string;
  readonly target: AnswerCounts;
  readonly baseline: AnswerCounts;
}

/** What one incarnation of a box has seen of an order. */
export interface RolloutReport {
  readonly box: string;
  readonly incarnation: string;
  readonly service: string;
  readonly orderPosition: StorePosition;
  /** First calls to the service. */
  readonly requests: number;
  /** Calls sent to the target version. */
  readonly targetCalls: number;
  readonly routes: ReadonlyArray<RouteEvidence>;
  /** Ids of leafs of the target version that gave a failed or slow answer; only the first few. */
  readonly failedLeafs: ReadonlyArray<string>;
  /**
   * Latest attempt for which this box sends nothing more to the baseline and has no call open
   * there; 0 if none.
   */
  readonly confirmedAttempt: number;
  /** Whether this box has judged the target version as bad. */
  readonly isBad: boolean;
}
