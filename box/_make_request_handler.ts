/**
 * Makes what takes callers' requests: ties it to the policies and the number of boxes.
 *
 * @module
 */
import { RequestHandler, type RequestHandlerOptions } from "./request_handler.js";
import { type CompiledPolicies, RoutePolicies } from "./route_policies.js";

/** What the intake is made from. */
export interface MakeRequestHandlerOptions extends Omit<RequestHandlerOptions, "policies"> {
  /** Operators' policy programs; nothing where the routes' own terms decide alone. */
  readonly programs: CompiledPolicies | undefined;
}

/**
 * Makes the intake.
 *
 * @param options - What it is made from.
 * @returns The intake.
 */
export function makeRequestHandler({
  programs,
  ...options
}: MakeRequestHandlerOptions): RequestHandler {
  const { telemetry } = options;
  const policies = new RoutePolicies(programs, (policy, reason) => {
    telemetry.event("warn", "policy: program failed, its default holds", { policy, reason });
  });
  return new RequestHandler({ ...options, policies });
}
