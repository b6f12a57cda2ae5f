/**
 * Computes the latency objective and deadline of a request.
 *
 * @module
 */
import type { RequestTerms } from "../request/mod.js";
import type { Route } from "../routing/mod.js";
import type { IncomingRequest } from "./caller_server.js";
import type { Admission } from "./route_policies.js";

/**
 * Time reserved for processing in this box and sending the response to the caller, in milliseconds.
 */
const ANSWER_MARGIN_MS = 14;

/**
 * Additional time reserved for the first request on a connection, in milliseconds: the caller has
 * already spent time on connecting and often on resolving addresses.
 */
const OPENING_MARGIN_MS = 20;

/** Limits of a request that the policy and the configuration determine. */
export interface RequestLimits extends Pick<Admission, "maxAttempts" | "finishShare"> {
  /** Maximum expected queueing delay at leafs, in milliseconds. */
  readonly maxQueueMs: number;
}

/**
 * Computes the latency objective, deadline and limits of a request.
 *
 * @param incoming - The request as received.
 * @param route - The route of the request.
 * @param limits - Limits from the policy and the configuration.
 * @returns The terms; the deadline is before the earlier of the caller's deadline and the route's
 *   timeout.
 */
export function requestTerms(
  { arrivedAtMs, opensConnection, terms }: IncomingRequest,
  route: Route,
  { maxAttempts, finishShare, maxQueueMs }: RequestLimits,
): RequestTerms {
  const marginMs = ANSWER_MARGIN_MS + (opensConnection ? OPENING_MARGIN_MS : 0);
  const waitMs = Math.min(terms.waitMs ?? route.timeoutMs, route.timeoutMs);
  const objectiveMs = Math.min(route.aimMs, waitMs);
  return {
    requestId: terms.requestId,
    route,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + Math.max(1, waitMs - marginMs),
    objectiveAtMs: arrivedAtMs + Math.max(1, objectiveMs - marginMs),
    maxAttempts,
    maxQueueMs,
    finishShare,
  };
}
