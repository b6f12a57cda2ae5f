/**
 * Tells from the queues at the leafs whether a request had better not be begun: where most of its parts
 * would come too late, refusing it at once leaves the leafs to requests that can be answered in time.
 *
 * @module
 */
import type { CallPlan } from "./_plan.js";
import type { RequestTerms } from "./request_state.js";

/**
 * Share of the shards whose leafs' queues must be too long. Above what slow or pausing leafs alone come
 * to: a request that lacks only theirs is answered without them or late.
 */
const OVERLOADED_SHARE = 0.45;

/** Least time after which a refused caller may come back, in milliseconds: queues empty in tenths of a second. */
const LEAST_RETRY_MS = 300;

/** Time after which a refused caller may come back, as a multiple of the wait at the leafs. */
const RETRY_FACTOR = 4;

/**
 * Works out whether leafs are overloaded for a request, as far as this box knows their queues: those of
 * leafs near it, and those that boxes elsewhere have just told of.
 *
 * @param plan - The first calls of the request.
 * @param terms - The request.
 * @returns When the caller may come back, in milliseconds, if it had better not be begun.
 */
export function overloadRetryMs(
  { direct, relays }: CallPlan,
  terms: RequestTerms,
): number | undefined {
  const calls = [...direct, ...relays.flatMap((relay) => relay.calls)];
  const queues = calls.map(({ leaf }) => leaf.queueMs).sort((a, b) => a - b);
  const tooLong = queues.filter((queueMs) => queueMs > terms.mostQueueMs);
  if (tooLong.length <= OVERLOADED_SHARE * queues.length) {
    return undefined;
  }
  return Math.round(Math.max(LEAST_RETRY_MS, (tooLong[0] ?? 0) * RETRY_FACTOR));
}
