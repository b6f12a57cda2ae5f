/**
 * Tells whether a call to a leaf has brought a part that can be handed to another box.
 *
 * @module
 */
import type { AttemptOutcome, LostPart } from "../request/mod.js";

/**
 * Tells why a call brought no part.
 *
 * @param outcome - How the call ended.
 * @returns Why there is none; nothing where there is one.
 */
export function lostPartOf(outcome: AttemptOutcome): LostPart | undefined {
  return (LOST_PARTS[outcome.kind] as (outcome: AttemptOutcome) => LostPart | undefined)(outcome);
}

const LOST_PARTS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => LostPart | undefined;
} = {
  answered: ({ answer: { signature, statusCode } }) => {
    return statusCode >= 200 && statusCode < 300 && signature !== "" ? undefined : "failed";
  },
  refused: () => "refused",
  failed: ({ barrier, connectionLost = false, sent }) => {
    if (connectionLost) {
      return "connection lost";
    }
    if (barrier?.kind === "quarantined") {
      return "held";
    }
    return sent ? "failed" : "declined";
  },
};
