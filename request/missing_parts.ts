/**
 * Tells why parts are missing from the answer of a gathered request.
 *
 * @module
 */
import { isSettled } from "./_shards.js";
import type { RequestState, ShardState } from "./request_state.js";

/** Why a shard has no part in the answer. */
export type MissingPartCause =
  /** Its only open attempts are relay requests that a box has not answered for this shard. */
  | "relay unanswered"
  /** A leaf has not answered. */
  | "leaf unanswered"
  /** An attempt is deferred, and none is open. */
  | "deferred"
  /** No further attempt was possible. */
  | "failed";

/**
 * Counts the shards without a part, by cause.
 *
 * @param state - The request when its reply was decided.
 * @returns The counts; empty if the answer is complete.
 */
export function countMissingParts({
  shards,
}: Pick<RequestState, "shards">): ReadonlyMap<MissingPartCause, number> {
  const counts = new Map<MissingPartCause, number>();
  for (const shard of shards) {
    const cause = missingPartCause(shard);
    if (cause !== undefined) {
      counts.set(cause, (counts.get(cause) ?? 0) + 1);
    }
  }
  return counts;
}

function missingPartCause(shard: ShardState): MissingPartCause | undefined {
  if (shard.failed) {
    return "failed";
  }
  if (isSettled(shard)) {
    return undefined;
  }
  if (shard.open.length === 0) {
    return "deferred";
  }
  const isLeafCalled = shard.open.some(({ calledId }) => shard.calledLeafIds.has(calledId));
  return isLeafCalled ? "leaf unanswered" : "relay unanswered";
}
