/**
 * Works out the moments that hold for a request: when its answer is worth most and when it is due.
 *
 * @module
 */
import type { RequestTerms } from "../request/mod.js";
import type { Route } from "../routing/mod.js";
import type { IncomingRequest } from "./caller_server.js";
import type { Admission } from "./route_policies.js";

/** Part of a request's time kept back for its way through this box and to the caller, in milliseconds. */
const ANSWER_MARGIN_MS = 14;

/**
 * Kept back besides for a request that opened its connection, in milliseconds: the caller has waited
 * for that, and often for a look-up at the directory. At 3 ms to callers the connection takes 6 ms and
 * the look-up up to 12 ms.
 */
const OPENING_MARGIN_MS = 20;

/** What policy and the configuration have decided of a request. */
export interface DecidedTerms extends Pick<Admission, "maxAttempts" | "finishShare"> {
  /** Longest time that its calls may be expected to wait at leafs, in milliseconds. */
  readonly maxQueueMs: number;
}

/**
 * Works out a request's terms.
 *
 * @param arrived - The request as it came in.
 * @param route - Its route.
 * @param decided - What policy and the configuration have decided.
 * @returns The terms; the final answer is due before the earlier of caller's deadline and timeout.
 */
export function requestTerms(
  { arrivedAtMs, opensConnection, terms }: IncomingRequest,
  route: Route,
  { maxAttempts, finishShare, maxQueueMs: mostQueueMs }: DecidedTerms,
): RequestTerms {
  const marginMs = ANSWER_MARGIN_MS + (opensConnection ? OPENING_MARGIN_MS : 0);
  const waitMs = Math.min(terms.waitMs ?? route.timeoutMs, route.timeoutMs);
  const aimMs = Math.min(route.aimMs, waitMs);
  return {
    requestId: terms.requestId,
    route,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + Math.max(1, waitMs - marginMs),
    objectiveAtMs: arrivedAtMs + Math.max(1, aimMs - marginMs),
    maxAttempts,
    maxQueueMs: mostQueueMs,
    finishShare,
  };
}
