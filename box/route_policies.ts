/**
 * The operators' policy programs of routes, as the box applies them to each request.
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

/** Name under which programs stand that hold for all routes without their own. */
const ALL_ROUTES = "*";

/** What is decided for a request before it is sent anywhere. */
export interface Admission {
  /** Why it is refused; empty where it is not. */
  readonly refusal: string;
  /** When the caller may come back, in milliseconds; of no meaning where it is not refused. */
  readonly retryAfterMs: number;
  readonly placement: Placement;
  readonly maxAttempts: number;
  /** Share of the parts, 0 to 1, with which the answer is given without waiting for more. */
  readonly finishShare: number;
}

/** What the programs see of a request. */
export interface AdmissionInput {
  readonly route: Route;
  /** Host that the caller named; limits for callers count by it. */
  readonly caller: string;
  readonly waitMs: number;
  /** Requests on this box that have no answer yet. */
  readonly runningRequests: number;
  /** Boxes over which a caller's rate is shared. */
  readonly boxCount: number;
  readonly nowMs: number;
}

/** Compiled programs by route, and how they are run. */
export interface CompiledPolicies {
  readonly programsByRoute: ReadonlyMap<string, Programs>;
  readonly evaluate: (programs: Programs, input: PolicyInput) => PolicyDecision;
}

/** When a refused caller may come back where its programs do not say, in milliseconds. */
const REFUSED_RETRY_MS = 1_000;

const PRIORITIES: ReadonlyArray<Priority> = ["urgent", "high", "normal", "low"];

/**
 * Reads and compiles a file of programs. The compiler is loaded only then, as it takes long to load.
 *
 * @param path - JSON file: an object of route names, or `*`, each with its programs by decision.
 * @returns The programs, or one sentence on the first fault.
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

/** Applies programs to requests. */
export class RoutePolicies {
  readonly #compiled: CompiledPolicies | undefined;
  readonly #onFailure: (policy: string, message: string) => void;
  readonly #buckets = new Map<string, TokenBucket>();

  /**
   * @param compiled - The programs; nothing where the routes' own terms decide alone.
   * @param onFailure - Told when a program fails; its default holds then.
   */
  constructor(
    compiled: CompiledPolicies | undefined,
    onFailure: (policy: string, message: string) => void,
  ) {
    this.#compiled = compiled;
    this.#onFailure = onFailure;
  }

  /**
   * Decides a request.
   *
   * @param input - What is known of it.
   * @returns Whether and how it goes on; never more attempts than the route allows.
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
    { caller, boxCount: boxes, nowMs }: AdmissionInput,
    { callerRequestsPerSecond: callerPerSecond }: PolicyDecision,
  ): Admission {
    if (callerPerSecond === 0) {
      return admission;
    }
    const perSecond = callerPerSecond / Math.max(1, boxes);
    const rate = { perSecond, burst: Math.max(1, perSecond) };
    const held = this.#buckets.get(caller) ?? { tokens: rate.burst, updatedAtMs: nowMs };
    const bucket = refill(held, rate, { nowMs });
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

function policyInputOf({
  route,
  caller,
  waitMs,
  runningRequests: running,
}: AdmissionInput): PolicyInput {
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
    load: { inFlight: running, availableShare: 1 },
  };
}
