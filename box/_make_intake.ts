/**
 * Makes what takes callers' requests: ties it to the policies and the number of boxes.
 *
 * @module
 */
import { RequestIntake, type RequestIntakeOptions } from "./request_intake.js";
import { type CompiledPolicies, RoutePolicies } from "./route_policies.js";

/** What the intake is made from. */
export interface MakeIntakeOptions extends Omit<RequestIntakeOptions, "policies"> {
  /** Operators' policy programs; nothing where the routes' own terms decide alone. */
  readonly programs: CompiledPolicies | undefined;
}

/**
 * Makes the intake.
 *
 * @param options - What it is made from.
 * @returns The intake.
 */
export function makeIntake({ programs, ...options }: MakeIntakeOptions): RequestIntake {
  const { telemetry } = options;
  const policies = new RoutePolicies(programs, (policy, reason) => {
    telemetry.event("warn", "policy: program failed, its default holds", { policy, reason });
  });
  return new RequestIntake({ ...options, policies });
}
