/**
 * Runs a service's programs for one request and falls back to safe values.
 *
 * @module
 */
import type { PolicyKind } from "../model/mod.js";
import { type Placement, type Programs, RESULT_CONSTRAINTS } from "./compile_policy.js";
import type { PolicyInput } from "./policy_input.js";

/** What the programs decided for a request. */
export interface PolicyDecision {
  readonly placement: Placement;
  /** Requests a second that this caller may send; 0 means no limit. */
  readonly callerRequestsPerSecond: number;
  /** Retries for each shard. */
  readonly retries: number;
  /** Why the request is refused; empty when it is not. */
  readonly refusal: string;
  /** Coverage, 0 to 1, at which the answer is given without waiting for more. */
  readonly finishCoverage: number;
  /** Programs that failed, with the reason; their defaults were used. */
  readonly failures: ReadonlyArray<{ readonly policy: PolicyKind; readonly message: string }>;
}

/** Values used where a service has no program, or its program failed. */
export const POLICY_DEFAULTS = {
  place: "least-loaded",
  limit: 0,
  retry: 1,
  refuse: "",
  finish: 1,
} as const satisfies Readonly<Record<PolicyKind, string | number>>;

/**
 * Decides a request by the service's programs.
 *
 * @param programs - The service's programs.
 * @param input - What they see.
 * @returns The decision; a program that fails or returns what it must not counts as absent.
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
