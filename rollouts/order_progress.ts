/**
 * What one box has sent and seen of one order, and what it has decided by that.
 *
 * @module
 */
import type { Rollout, RolloutBounds, RolloutReport } from "../model/mod.js";
import { exposureLimit, roundingOffset } from "./exposure_credit.js";
import { type BadVerdict, VersionJudge } from "./judge_version.js";
import { isConfirmed, type RolloutPhase, rolloutPhase } from "./rollout_phase.js";
import type { VersionCall, VersionCallEnd } from "./version_access.js";
import { VersionEvidence } from "./version_evidence.js";

/** Options of {@link OrderProgress}. */
export interface OrderProgressOptions {
  readonly box: string;
  readonly incarnation: string;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  readonly bounds: RolloutBounds;
  /** The box's part of the slack when the order was first seen. */
  readonly slackShare: number;
}

/**
 * Longest time from an order until a box first sees it for the box to use its part of the slack, in
 * milliseconds. If it is exceeded, a former incarnation of the box may have used that part already.
 */
const MAX_SLACK_DELAY_MS = 1_500;

/** Progress of one order on one box. */
export class OrderProgress {
  readonly #options: OrderProgressOptions;
  readonly #evidence: VersionEvidence;
  readonly #judge = new VersionJudge();
  readonly #seenAtMs: number;
  readonly #roundingOffset: number;
  /** Position of the order, which identifies it. */
  readonly orderPosition: number;
  /**
   * Attempt in whose switch this box first saw the order; 0 if none. `completed` may already be
   * under way without a confirmation of this box, which may not call the baseline then.
   */
  readonly #joinedAttempt: number;
  #confirmedAttempt = 0;
  #isBad = false;

  /**
   * @param rollout - The order as first seen.
   * @param options - The box and the bounds.
   */
  constructor(rollout: Rollout, options: OrderProgressOptions) {
    const { orderPosition, service } = rollout;
    const { box, incarnation, nowMs } = options;
    this.#options = options;
    this.orderPosition = orderPosition;
    this.#seenAtMs = nowMs();
    this.#joinedAttempt = rollout.stage === "switching" ? rollout.attempt : 0;
    this.#roundingOffset = roundingOffset({ box, incarnation, service, orderPosition });
    this.#evidence = new VersionEvidence({ box, incarnation, service, orderPosition, nowMs });
  }

  /**
   * Confirms the current attempt to switch if no call to the baseline is open. If the version is
   * bad, only a box that learned of the order during this attempt confirms it.
   *
   * @param rollout - The order.
   * @param hasOpenBaselineCalls - Returns whether a call to the baseline is open.
   * @returns Whether it is confirmed by this call.
   */
  confirmIfDrained(rollout: Rollout, hasOpenBaselineCalls: () => boolean): boolean {
    const isDrained =
      rollout.state === "running" &&
      rollout.stage === "switching" &&
      rollout.attempt > this.#confirmedAttempt &&
      (rollout.attempt === this.#joinedAttempt || !(this.#isBad || rollout.isBad)) &&
      !hasOpenBaselineCalls();
    if (isDrained) {
      this.#confirmedAttempt = rollout.attempt;
    }
    return isDrained;
  }

  /**
   * Determines the state of the order for this box.
   *
   * @param rollout - The order.
   * @returns The state.
   */
  phase(rollout: Rollout): RolloutPhase {
    const isBad = this.#isBad || rollout.isBad;
    const confirmedAttempt = Math.max(this.#confirmedAttempt, this.#joinedAttempt);
    return rolloutPhase(rollout, { confirmedAttempt, isBad });
  }

  /**
   * Returns whether the exposure credit allows another call to the target version.
   *
   * @param rollout - The order.
   * @returns Whether it does.
   */
  hasCredit({ orderedAtMs }: Rollout): boolean {
    const { bounds, slackShare } = this.#options;
    const limit = exposureLimit({
      bounds,
      requests: this.#evidence.requests,
      slackShare: this.#seenAtMs - orderedAtMs > MAX_SLACK_DELAY_MS ? 0 : slackShare,
      roundingOffset: this.#roundingOffset,
    });
    return this.#evidence.targetCalls < limit;
  }

  /**
   * Records a call that is sent while the order is running.
   *
   * @param rollout - The order.
   * @param call - The call.
   */
  recordCallSent(rollout: Rollout, { isFirst, leaf }: VersionCall): void {
    if (isFirst && this.#options.nowMs() < rollout.orderedAtMs + rollout.durationMs) {
      this.#evidence.recordRequest();
    }
    if (leaf.version === rollout.targetVersion) {
      this.#evidence.recordTargetCall();
    }
  }

  /**
   * Records the end of a call and judges the target version by it.
   *
   * @param rollout - The order.
   * @param end - How the call ended.
   * @param targetLeafCount - Returns the number of leafs of the target version.
   * @returns The verdict, if this call made it bad.
   */
  recordCallEnd(
    rollout: Rollout,
    end: VersionCallEnd,
    targetLeafCount: () => number,
  ): BadVerdict | undefined {
    const side = end.leaf.version === rollout.targetVersion ? "target" : "baseline";
    this.#evidence.recordCallEnd(end, side);
    if (side === "baseline" || this.#isBad) {
      return undefined;
    }
    const context = { nowMs: this.#options.nowMs(), targetLeafCount: targetLeafCount() };
    const verdict = this.#judge.update(this.report(), context);
    if (verdict.kind === "undecided") {
      return undefined;
    }
    this.#isBad = true;
    return verdict;
  }

  /**
   * Returns the report of this box.
   *
   * @returns The report.
   */
  report(): RolloutReport {
    const confirmedAttempt = this.#confirmedAttempt;
    return this.#evidence.snapshot({ confirmedAttempt, isBad: this.#isBad });
  }

  /**
   * Returns what the state of the order was decided by, for a log line.
   *
   * @param rollout - The order.
   * @returns Fields of the line.
   */
  logFields(rollout: Rollout): Readonly<Record<string, unknown>> {
    const { attempt, orderPosition, service, stage, state, targetVersion } = rollout;
    return {
      service,
      targetVersion,
      orderPosition,
      state,
      stage,
      attempt,
      isConfirmed: isConfirmed(rollout, { confirmedAttempt: this.#confirmedAttempt }),
      isBadHere: this.#isBad,
      isBadElsewhere: rollout.isBad && !this.#isBad,
      requests: this.#evidence.requests,
      targetCalls: this.#evidence.targetCalls,
      orderAgeMs: this.#options.nowMs() - rollout.orderedAtMs,
    };
  }
}
