/**
 * Classifies the outcome of a relayed leaf call.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart } from "../request/mod.js";

/**
 * Returns why a call has no part (the result of one shard) for the requesting box.
 *
 * @param outcome - Outcome of the call.
 * @returns The reason, or `undefined` if the call returned a part.
 */
export function failedPartOf(outcome: AttemptOutcome): FailedPart | undefined {
  return (CLASSIFIERS[outcome.kind] as (outcome: AttemptOutcome) => FailedPart | undefined)(
    outcome,
  );
}

const CLASSIFIERS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => FailedPart | undefined;
} = {
  answered: ({ answer: { signature, statusCode } }) => {
    return statusCode >= 200 && statusCode < 300 && signature !== "" ? undefined : "failed";
  },
  refused: () => "refused",
  failed: ({ blockReason, connectionClosed = false, sent }) => {
    if (connectionClosed) {
      return "connection closed";
    }
    if (blockReason?.kind === "quarantined") {
      return "blocked";
    }
    return sent ? "failed" : "declined";
  },
};
