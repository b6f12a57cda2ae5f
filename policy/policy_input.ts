/**
 * Input of policy programs.
 *
 * @module
 */
import type { QueryRequest } from "../model/mod.js";

/** Load of the service as observed by this box. */
export interface PolicyLoad {
  /** Number of the service's queries in flight on this box. */
  readonly inFlight: number;
  /** Fraction of the service's leafs that accept calls, 0 to 1. */
  readonly availableShare: number;
}

/** Variables available to a policy program. */
export interface PolicyInput {
  readonly request: Pick<
    QueryRequest,
    "service" | "caller" | "rights" | "priority" | "deadlineMs" | "wantedCoverage" | "repeatable"
  >;
  readonly load: PolicyLoad;
}

/** Names of the variables available to a policy program. */
export const POLICY_VARIABLES = ["request", "load"] as const;

/** Sample input that programs are run with when they are compiled. */
export const SAMPLE_INPUT: PolicyInput = {
  request: {
    service: "sample",
    caller: "sample-caller",
    rights: "sample-rights",
    priority: "normal",
    deadlineMs: 300,
    wantedCoverage: 1,
    repeatable: true,
  },
  load: { inFlight: 1, availableShare: 1 },
};

/**
 * Builds the input of policy programs from a query.
 *
 * @param request - The caller's query.
 * @param load - Load of the service.
 * @returns Variables of the programs.
 */
export function policyInput(request: QueryRequest, load: PolicyLoad): PolicyInput {
  const { service, caller, rights, priority, deadlineMs, wantedCoverage, repeatable } = request;
  return {
    request: { service, caller, rights, priority, deadlineMs, wantedCoverage, repeatable },
    load,
  };
}
