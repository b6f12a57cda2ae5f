/**
 * Tells whether a call to a leaf has brought a part that can be handed to another box.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart } from "../request/mod.js";

/**
 * Tells why a call brought no part.
 *
 * @param outcome - How the call ended.
 * @returns Why there is none; nothing where there is one.
 */
export function failedPartOf(outcome: AttemptOutcome): FailedPart | undefined {
  return (LOST_PARTS[outcome.kind] as (outcome: AttemptOutcome) => FailedPart | undefined)(outcome);
}

const LOST_PARTS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => FailedPart | undefined;
} = {
  answered: ({ answer: { signature, statusCode } }) => {
    return statusCode >= 200 && statusCode < 300 && signature !== "" ? undefined : "failed";
  },
  refused: () => "refused",
  failed: ({ blockReason: barrier, connectionClosed: connectionLost = false, sent }) => {
    if (connectionLost) {
      return "connection lost";
    }
    if (barrier?.kind === "quarantined") {
      return "blocked";
    }
    return sent ? "failed" : "declined";
  },
};
