/**
 * What it means for a request that a box which was asked for parts has none of a shard.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart } from "./request_state.js";

const OUTCOMES: Readonly<Record<FailedPart, AttemptOutcome>> = {
  declined: { kind: "failed", sent: false, reason: "declined" },
  refused: { kind: "refused", reason: "full" },
  failed: { kind: "failed", sent: true, reason: "part is missing" },
  "connection lost": {
    kind: "failed",
    sent: true,
    reason: "leaf was lost",
    connectionClosed: true,
  },
  blocked: { kind: "failed", sent: false, reason: "blocked" },
};

/**
 * Tells how an attempt through another box ended that brought no part.
 *
 * @param why - Why there is none.
 * @returns The attempt's outcome.
 */
export function failedPartOutcome(why: FailedPart): AttemptOutcome {
  return OUTCOMES[why];
}
