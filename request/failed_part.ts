/**
 * Maps the reason for a missing relayed part to the outcome of the attempt.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart } from "./request_state.js";

const OUTCOMES: Readonly<Record<FailedPart, AttemptOutcome>> = {
  declined: { kind: "failed", sent: false, reason: "declined" },
  refused: { kind: "refused", reason: "full" },
  failed: { kind: "failed", sent: true, reason: "part is missing" },
  "connection closed": {
    kind: "failed",
    sent: true,
    reason: "leaf disconnected",
    connectionClosed: true,
  },
  blocked: { kind: "failed", sent: false, reason: "blocked" },
};

/**
 * Returns the outcome of an attempt through another box that yielded no part.
 *
 * @param reason - Why the part is missing.
 * @returns The attempt's outcome.
 */
export function failedPartOutcome(reason: FailedPart): AttemptOutcome {
  return OUTCOMES[reason];
}
