/**
 * Applies the operators' policy programs to requests.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { Placement } from "../leafs/mod.js";
import { msUntilToken, refill, type TokenBucket } from "../limits/mod.js";
import type { PolicySources, Priority } from "../model/mod.js";
import type { PolicyDecision, PolicyInput, Programs } from "../policy/mod.js";
import type { Route } from "../routing/mod.js";

/** Name of the programs for all routes without programs of their own. */
const ALL_ROUTES = "*";

/** Decision on a request before any leaf is called. */
export interface Admission {
  /** Reason of the refusal; empty if the request is admitted. */
  readonly refusal: string;
  /** Time after which the caller may retry a refused request, in milliseconds. */
  readonly retryAfterMs: number;
  readonly placement: Placement;
  readonly maxAttempts: number;
  /** Share of the parts, 0 to 1, that suffices to answer without waiting for more. */
  readonly finishShare: number;
}

/** Input for the decision on a request. */
export interface AdmissionInput {
  readonly route: Route;
  /** Host of the request, by which callers are rate-limited. */
  readonly caller: string;
  readonly waitMs: number;
  /** Number of unanswered requests on this box. */
  readonly runningRequests: number;
  /** Number of boxes that share a caller's rate. */
  readonly boxCount: number;
  readonly nowMs: number;
}

/** Compiled programs by route, and the function that evaluates them. */
export interface CompiledPolicies {
  readonly programsByRoute: ReadonlyMap<string, Programs>;
  readonly evaluate: (programs: Programs, input: PolicyInput) => PolicyDecision;
}

/** Default time after which a refused caller may retry, in milliseconds. */
const REFUSED_RETRY_MS = 1_000;

const PRIORITIES: ReadonlyArray<Priority> = ["urgent", "high", "normal", "low"];

/**
 * Reads and compiles a file of programs. The compiler is imported on demand because loading it is
 * slow.
 *
 * @param path - JSON file: an object of route names, or `*`, each with its programs by decision.
 * @returns The programs, or a message on the first error.
 */
export async function readPolicies(path: string): Promise<Result<CompiledPolicies, string>> {
  const { compilePolicies, evaluatePolicies } = await import("../policy/mod.js");
  let sources: Readonly<Record<string, PolicySources>>;
  try {
    sources = JSON.parse(readFileSync(path, "utf8")) as typeof sources;
  } catch (error) {
    return err(`Cannot read policies "${path}": ${(error as Error).message}`);
  }
  const programsByRoute = new Map<string, Programs>();
  for (const [route, programs] of Object.entries(sources)) {
    const compiled = compilePolicies(programs);
    if (compiled.isErr()) {
      return err(`Cannot accept policies of route "${route}": ${compiled.error.message}`);
    }
    programsByRoute.set(route, compiled.value);
  }
  return ok({ programsByRoute, evaluate: evaluatePolicies });
}

/** Decides on the admission of requests by policy programs. */
export class RoutePolicies {
  readonly #compiled: CompiledPolicies | undefined;
  readonly #onFailure: (policy: string, message: string) => void;
  readonly #buckets = new Map<string, TokenBucket>();

  /**
   * @param compiled - The programs; `undefined` if only the routes' own settings apply.
   * @param onFailure - Called when a program fails and its default is used instead.
   */
  constructor(
    compiled: CompiledPolicies | undefined,
    onFailure: (policy: string, message: string) => void,
  ) {
    this.#compiled = compiled;
    this.#onFailure = onFailure;
  }

  /**
   * Decides on a request.
   *
   * @param input - The request and the current load.
   * @returns The decision; it never allows more attempts than the route does.
   */
  admit(input: AdmissionInput): Admission {
    const { route } = input;
    const programs =
      this.#compiled?.programsByRoute.get(route.name) ??
      this.#compiled?.programsByRoute.get(ALL_ROUTES);
    if (this.#compiled === undefined || programs === undefined) {
      return { ...ADMITTED, maxAttempts: route.maxAttempts };
    }
    const decision = this.#compiled.evaluate(programs, policyInputOf(input));
    for (const { policy, message } of decision.failures) {
      this.#onFailure(policy, message);
    }
    const admission: Admission = {
      refusal: decision.refusal,
      retryAfterMs: REFUSED_RETRY_MS,
      placement: decision.placement,
      maxAttempts: Math.min(route.maxAttempts, decision.retries + 1),
      finishShare: decision.finishCoverage,
    };
    return decision.refusal === "" ? this.#limit(admission, input, decision) : admission;
  }

  #limit(
    admission: Admission,
    { caller, boxCount, nowMs }: AdmissionInput,
    { callerRequestsPerSecond }: PolicyDecision,
  ): Admission {
    if (callerRequestsPerSecond === 0) {
      return admission;
    }
    const perSecond = callerRequestsPerSecond / Math.max(1, boxCount);
    const rate = { perSecond, burst: Math.max(1, perSecond) };
    const storedBucket = this.#buckets.get(caller) ?? { tokens: rate.burst, updatedAtMs: nowMs };
    const bucket = refill(storedBucket, rate, { nowMs });
    if (bucket.tokens < 1) {
      this.#buckets.set(caller, bucket);
      const retryAfterMs = msUntilToken(bucket, rate);
      return { ...admission, refusal: "the caller's rate is used up", retryAfterMs };
    }
    this.#buckets.set(caller, { ...bucket, tokens: bucket.tokens - 1 });
    return admission;
  }
}

const ADMITTED = {
  refusal: "",
  retryAfterMs: 0,
  placement: "least-loaded",
  finishShare: 1,
} as const;

function policyInputOf({ route, caller, waitMs, runningRequests }: AdmissionInput): PolicyInput {
  const { name, priorityRank, repeatable, target } = route;
  return {
    request: {
      service: name,
      caller,
      rights: caller,
      priority: PRIORITIES[Math.min(priorityRank, PRIORITIES.length - 1)] ?? "normal",
      deadlineMs: waitMs,
      wantedCoverage: target.kind === "gather" ? target.leastShare : 1,
      repeatable,
    },
    load: { inFlight: runningRequests, availableShare: 1 },
  };
}
