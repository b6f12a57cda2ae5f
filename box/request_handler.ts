/**
 * Handles callers' requests: finds the route, applies the policies, runs the request and logs the
 * outcome.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import {
  countMissingParts,
  type MissingPartCause,
  type Reply,
  type RequestTerms,
} from "../request/mod.js";
import {
  acceptRoute,
  findRoute,
  type Route,
  type RouteTable,
  ServiceSelector,
} from "../routing/mod.js";
import type { BoxTelemetry, LogFields } from "../telemetry/mod.js";
import type { IncomingRequest, ReplyCallback } from "./caller_server.js";
import type { RequestRunner, RequestSummary } from "./request_runner.js";
import { requestTerms } from "./request_terms.js";
import type { Admission, RoutePolicies } from "./route_policies.js";

/** Time after which a caller may retry while no configuration is known, in milliseconds. */
const STARTING_RETRY_MS = 300;

const NONE_MISSING: ReadonlyMap<MissingPartCause, number> = new Map();

/** Options of {@link RequestHandler}. */
export interface RequestHandlerOptions {
  readonly nowMs: () => number;
  readonly clusterState: ClusterState;
  readonly telemetry: BoxTelemetry;
  readonly runner: RequestRunner;
  readonly policies: RoutePolicies;
  /** Returns the number of boxes that share callers' rate limits. */
  readonly countBoxes: () => number;
  /**
   * Returns the time that requests have until a planned stop answers them in any case, in
   * milliseconds: infinite without one, 0 once no request may be run any more.
   */
  readonly remainingMs: () => number;
}

/** Handles requests. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #selector = new ServiceSelector(Math.random);
  /** Routes for which the selector was last used. */
  #selectorRoutes: RouteTable | undefined;

  /**
   * @param options - Dependencies of the handler.
   */
  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /**
   * Handles a request.
   *
   * @param incoming - The complete request.
   * @param sendReply - Called once with the reply, unless the caller disconnects first.
   * @returns Function to call if the caller disconnects before the reply.
   */
  handle(incoming: IncomingRequest, sendReply: ReplyCallback): () => void {
    const routes = this.#options.clusterState.routes;
    if (routes === undefined) {
      this.#options.telemetry.logRequest("request: not run, no configuration yet", {
        requestId: incoming.terms.requestId,
        isStoreReachable: this.#options.clusterState.isStoreReachable,
      });
      sendReply({
        kind: "notRun",
        reason: "no configuration is known yet",
        retryAfterMs: STARTING_RETRY_MS,
      });
      return () => undefined;
    }
    const { host, forwarded } = incoming;
    const routeKey = { host, path: forwarded.path };
    const route = findRoute(routes, routeKey);
    if (route === undefined) {
      this.#options.telemetry.logRequest("request: no route", {
        requestId: incoming.terms.requestId,
        host,
        path: forwarded.path,
        version: routes.configuration.version,
      });
      sendReply({ kind: "noRoute" });
      return () => undefined;
    }
    const admission = this.#admit(incoming, route);
    const maxQueueMs = routes.queueAllowancesMs.get(route.name) ?? Number.POSITIVE_INFINITY;
    const terms = requestTerms(incoming, route, { ...admission, maxQueueMs });
    if (admission.refusal !== "") {
      const { refusal, retryAfterMs } = admission;
      this.#options.telemetry.requests.inc({ route: route.name, outcome: "refused" });
      this.#options.telemetry.logRequest("request: refused by policy", {
        requestId: terms.requestId,
        route: route.name,
        version: routes.configuration.version,
        refusal,
        retryAfterMs,
      });
      sendReply({ kind: "notRun", reason: refusal, retryAfterMs });
      return () => undefined;
    }
    const remainingMs = this.#options.remainingMs();
    if (terms.objectiveAtMs - terms.arrivedAtMs > remainingMs) {
      this.#refuseWhileStopping(terms, remainingMs);
      sendReply({ kind: "notRun", reason: "the box is stopping", retryAfterMs: 0 });
      return () => undefined;
    }
    const run = this.#options.runner.run({
      terms,
      placement: admission.placement,
      services: this.#servicesOf(route, routes),
      forwarded: { ...forwarded, acceptedRoute: acceptRoute(routeKey, route) },
      onReply: (reply, summary) => {
        sendReply(reply);
        this.#logReply(reply, summary, routes.configuration.version);
      },
      onCallerDisconnected: (summary) => this.#logDisconnect(summary, routes.configuration.version),
    });
    return () => run.cancel();
  }

  #refuseWhileStopping({ requestId, route }: RequestTerms, remainingMs: number): void {
    this.#options.telemetry.requests.inc({ route: route.name, outcome: "refused" });
    this.#options.telemetry.logRequest("request: refused, the box is stopping", {
      requestId,
      route: route.name,
      remainingMs: Math.round(remainingMs),
    });
  }

  #admit({ host, terms }: IncomingRequest, route: Route): Admission {
    return this.#options.policies.admit({
      route,
      caller: host,
      waitMs: terms.waitMs ?? route.timeoutMs,
      runningRequests: this.#options.runner.runningCount,
      boxCount: this.#options.countBoxes(),
      nowMs: this.#options.nowMs(),
    });
  }

  #servicesOf({ name, target }: Route, routes: RouteTable): ReadonlyArray<string> {
    if (target.kind === "gather") {
      return target.shards;
    }
    if (this.#selectorRoutes !== routes) {
      this.#selectorRoutes = routes;
      this.#selector.retainRoutes(routes.configuration.routes);
    }
    return [this.#selector.select({ name, services: target.services })];
  }

  #logDisconnect(summary: RequestSummary, version: number): void {
    const route = summary.state.terms.route.name;
    this.#options.telemetry.requests.inc({ route, outcome: "callerGone" });
    this.#options.telemetry.logRequest(
      "request: caller disconnected",
      this.#summaryFields(summary, version),
    );
  }

  #logReply(reply: Reply, summary: RequestSummary, version: number): void {
    const { terms } = summary.state;
    const tookMs = Math.round(this.#options.nowMs() - terms.arrivedAtMs);
    const route = terms.route.name;
    this.#options.telemetry.requests.inc({ route, outcome: reply.kind });
    this.#options.telemetry.requestMs.observe({ route }, tookMs);
    const missing = reply.kind === "merged" ? countMissingParts(summary.state) : NONE_MISSING;
    for (const [cause, count] of missing) {
      this.#options.telemetry.missingParts.inc({ cause }, count);
    }
    this.#options.telemetry.logRequest("request: answered", {
      outcome: reply.kind,
      ...(reply.kind === "failed" || reply.kind === "notRun" ? { reason: reply.reason } : {}),
      ...(reply.kind === "notRun" ? refusalFields(reply) : {}),
      ...(reply.kind === "passed" ? { statusCode: reply.answer.statusCode } : {}),
      ...(missing.size === 0 ? {} : { missing: Object.fromEntries(missing) }),
      ...this.#summaryFields(summary, version),
    });
  }

  /**
   * Log fields of a finished request, with the age of the state that the decisions were based on.
   */
  #summaryFields(
    { blockedShards, fingerprint, lostLeafs, notes, state }: RequestSummary,
    version: number,
  ): LogFields {
    const { terms, shards, partsIn, partsLost, nextAttemptId } = state;
    const now = this.#options.nowMs();
    return {
      requestId: terms.requestId,
      route: terms.route.name,
      version,
      leafsRevision: this.#options.clusterState.leafsRevision,
      knownAgoMs: Math.round(now - this.#options.clusterState.lastUpdateAtMs),
      tookMs: Math.round(now - terms.arrivedAtMs),
      leftMs: Math.round(terms.deadlineAtMs - now),
      shards: shards.length,
      partsIn,
      partsLost,
      attempts: nextAttemptId - 1,
      fingerprint,
      lostLeafs,
      ...(blockedShards.size === 0 ? {} : { barred: Object.fromEntries(blockedShards) }),
      notes,
      open: shards.flatMap(({ service, open, part, relayed }) => {
        const isIn = part !== undefined || relayed;
        return isIn ? [] : open.map(({ calledId }) => `${service} at ${calledId}`);
      }),
    };
  }
}

/** Log fields of a refusal: time until a retry and the reasons. */
function refusalFields({
  overload,
  retryAfterMs,
  shortfall,
}: Extract<Reply, { readonly kind: "notRun" }>): LogFields {
  return { retryAfterMs, ...overload, ...shortfall };
}
