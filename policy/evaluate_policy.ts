/**
 * Evaluates a service's policy programs for one request, with safe defaults.
 *
 * @module
 */
import type { PolicyKind } from "../model/mod.js";
import { type Placement, type Programs, RESULT_CONSTRAINTS } from "./compile_policy.js";
import type { PolicyInput } from "./policy_input.js";

/** The decisions for a request. */
export interface PolicyDecision {
  readonly placement: Placement;
  /** Rate limit of this caller, in requests per second; 0 means no limit. */
  readonly callerRequestsPerSecond: number;
  /** Maximum number of retries per shard. */
  readonly retries: number;
  /** Reason for refusing the request; empty if it is accepted. */
  readonly refusal: string;
  /** Coverage, 0 to 1, at which the answer is returned without waiting for more shards. */
  readonly finishCoverage: number;
  /** Programs that failed, for which the defaults were used. */
  readonly failures: ReadonlyArray<{ readonly policy: PolicyKind; readonly message: string }>;
}

/** Defaults for decisions without a program or whose program failed. */
export const POLICY_DEFAULTS = {
  place: "least-loaded",
  limit: 0,
  retry: 1,
  refuse: "",
  finish: 1,
} as const satisfies Readonly<Record<PolicyKind, string | number>>;

/**
 * Evaluates a service's programs for a request.
 *
 * @param programs - The service's programs.
 * @param input - Variables of the programs.
 * @returns The decisions; the default is used if a program fails or its result violates the
 *   constraints.
 */
export function evaluatePolicies(programs: Programs, input: PolicyInput): PolicyDecision {
  const failures: Array<{ readonly policy: PolicyKind; readonly message: string }> = [];
  function decide<T>(policy: PolicyKind): T {
    const program = programs[policy];
    if (program === undefined) {
      return POLICY_DEFAULTS[policy] as T;
    }
    const result = program(input);
    if (result.isOk() && RESULT_CONSTRAINTS[policy].accepts(result.value)) {
      return result.value as T;
    }
    const message = result.isErr()
      ? result.error
      : `expected ${RESULT_CONSTRAINTS[policy].expected}`;
    failures.push({ policy, message });
    return POLICY_DEFAULTS[policy] as T;
  }
  return {
    placement: decide<Placement>("place"),
    callerRequestsPerSecond: decide<number>("limit"),
    retries: Math.floor(decide<number>("retry")),
    refusal: decide<string>("refuse"),
    finishCoverage: decide<number>("finish"),
    failures,
  };
}
