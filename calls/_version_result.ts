/**
 * Classifies the end of a call for the comparison of versions.
 *
 * @module
 */
import type { AttemptOutcome } from "../request/mod.js";
import type { VersionCallEnd } from "../rollouts/mod.js";

/** Reason of a call that this box cancelled. */
export const ABANDONED = "abandoned";

/**
 * Fraction of a call's time for which the event loop must have been idle before a missing answer
 * counts as a failure. While this process is stalled, the answer may have arrived without having
 * been read.
 */
const MIN_IDLE_SHARE = 0.35;

/** Times of a call when it ended. */
export interface EndTimes {
  /** Time left until the deadline, in milliseconds; negative once it has passed. */
  readonly leftMs: number;
  /** Time since the call was sent, in milliseconds. */
  readonly elapsedMs: number;
  /** Event-loop idle time since the call was sent, in milliseconds. */
  readonly idleMs: number;
}

/**
 * Classifies the end of a call that was counted as sent.
 *
 * @param outcome - Outcome of the call.
 * @param times - Its times.
 * @returns The result.
 */
export function versionResultOf(
  outcome: AttemptOutcome,
  times: EndTimes,
): VersionCallEnd["result"] {
  return (RESULTS[outcome.kind] as ResultOf<AttemptOutcome>)(outcome, times);
}

type ResultOf<Outcome> = (outcome: Outcome, times: EndTimes) => VersionCallEnd["result"];

const RESULTS: {
  readonly [K in AttemptOutcome["kind"]]: ResultOf<Extract<AttemptOutcome, { readonly kind: K }>>;
} = {
  answered: ({ answer }) => (answer.statusCode < 500 ? "answered" : "failed"),
  refused: () => "refused",
  failed: ({ connectionClosed, reason, sent }, times) => {
    if (reason === ABANDONED) {
      return isUnanswered(times) ? "failed" : "abandoned";
    }
    if (!sent) {
      // Its connection was closed before anything was written to it.
      return "refused";
    }
    return connectionClosed === true ? "connectionClosed" : "failed";
  },
};

function isUnanswered({ elapsedMs, idleMs, leftMs }: EndTimes): boolean {
  return leftMs <= 0 && idleMs >= elapsedMs * MIN_IDLE_SHARE;
}
