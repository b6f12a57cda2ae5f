/**
 * Takes callers' requests: finds the route, asks the policy, has the request run, and writes the log
 * line of what was decided.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import type { Reply } from "../request/mod.js";
import { findRoute, type Route, type ServiceCredits, selectService } from "../routing/mod.js";
import type { BoxTelemetry, LogFields } from "../telemetry/mod.js";
import type { IncomingRequest, ReplyCallback } from "./caller_server.js";
import type { RequestRunner, RequestSummary } from "./request_runner.js";
import { requestTerms } from "./request_terms.js";
import type { Admission, RoutePolicies } from "./route_policies.js";

/** When a caller may ask again while no configuration is known, in milliseconds. */
const STARTING_RETRY_MS = 300;

/** What taking requests works on. */
export interface RequestHandlerOptions {
  readonly nowMs: () => number;
  readonly clusterState: ClusterState;
  readonly telemetry: BoxTelemetry;
  readonly runner: RequestRunner;
  readonly policies: RoutePolicies;
  /** Tells how many boxes share what is limited. */
  readonly countBoxes: () => number;
}

/** Takes requests. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #splits = new Map<string, ServiceCredits>();

  /**
   * @param options - What taking requests works on.
   */
  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /**
   * Takes a request.
   *
   * @param arrived - The request, read whole.
   * @param answer - Called once with the reply, unless the caller goes.
   * @returns To be called when the caller goes before its answer.
   */
  handle(arrived: IncomingRequest, answer: ReplyCallback): () => void {
    const routes = this.#options.clusterState.routes;
    if (routes === undefined) {
      this.#options.telemetry.logRequest("request: not run, no configuration yet", {
        requestId: arrived.terms.requestId,
        isStoreReachable: this.#options.clusterState.isStoreReachable,
      });
      answer({
        kind: "notRun",
        reason: "no configuration is known yet",
        retryAfterMs: STARTING_RETRY_MS,
      });
      return () => undefined;
    }
    const { host, forwarded } = arrived;
    const route = findRoute(routes, { host, path: forwarded.path });
    if (route === undefined) {
      this.#options.telemetry.logRequest("request: no route", {
        requestId: arrived.terms.requestId,
        host,
        path: forwarded.path,
        version: routes.configuration.version,
      });
      answer({ kind: "noRoute" });
      return () => undefined;
    }
    const admission = this.#admit(arrived, route);
    const mostQueueMs = routes.queueAllowancesMs.get(route.name) ?? Number.POSITIVE_INFINITY;
    const terms = requestTerms(arrived, route, { ...admission, maxQueueMs: mostQueueMs });
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
      answer({ kind: "notRun", reason: refusal, retryAfterMs });
      return () => undefined;
    }
    const run = this.#options.runner.run({
      terms,
      placement: admission.placement,
      services: this.#servicesOf(route),
      forwarded,
      onReply: (reply, account) => {
        answer(reply);
        this.#tell(reply, account, routes.configuration.version);
      },
      onCallerDisconnected: (account) => this.#tellGone(account, routes.configuration.version),
    });
    return () => run.cancel();
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

  #servicesOf({ name, target }: Route): ReadonlyArray<string> {
    if (target.kind === "gather") {
      return target.shards;
    }
    const { service, credits } = selectService(
      target.services,
      this.#splits.get(name) ?? new Map(),
    );
    this.#splits.set(name, credits);
    return [service];
  }

  #tellGone(account: RequestSummary, version: number): void {
    const route = account.state.terms.route.name;
    this.#options.telemetry.requests.inc({ route, outcome: "callerGone" });
    this.#options.telemetry.logRequest(
      "request: caller gone",
      this.#accountFields(account, version),
    );
  }

  #tell(reply: Reply, account: RequestSummary, version: number): void {
    const { terms } = account.state;
    const tookMs = Math.round(this.#options.nowMs() - terms.arrivedAtMs);
    const route = terms.route.name;
    this.#options.telemetry.requests.inc({ route, outcome: reply.kind });
    this.#options.telemetry.requestMs.observe({ route }, tookMs);
    this.#options.telemetry.logRequest("request: answered", {
      outcome: reply.kind,
      ...(reply.kind === "failed" || reply.kind === "notRun" ? { reason: reply.reason } : {}),
      ...(reply.kind === "notRun" ? refusalFields(reply) : {}),
      ...(reply.kind === "passed" ? { statusCode: reply.answer.statusCode } : {}),
      ...this.#accountFields(account, version),
    });
  }

  /** What decided a request, with the age of what the box knew. */
  #accountFields(
    { blockedShards: barred, fingerprint, lostLeafs, notes, state }: RequestSummary,
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
      ...(barred.size === 0 ? {} : { barred: Object.fromEntries(barred) }),
      notes,
      open: shards.flatMap(({ service, open, part, relayed }) => {
        const isIn = part !== undefined || relayed;
        return isIn ? [] : open.map(({ calledId: asked }) => `${service} at ${asked}`);
      }),
    };
  }
}

/** When a refused caller may come back, and what the refusal was decided by. */
function refusalFields({
  overload,
  retryAfterMs,
  shortfall,
}: Extract<Reply, { readonly kind: "notRun" }>): LogFields {
  return { retryAfterMs, ...overload, ...shortfall };
}
