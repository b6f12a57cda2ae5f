/**
 * Creates the handler of callers' requests with the operators' policies.
 *
 * @module
 */
import { RequestHandler, type RequestHandlerOptions } from "./request_handler.js";
import { type CompiledPolicies, RoutePolicies } from "./route_policies.js";

/** Options of {@link makeRequestHandler}. */
export interface MakeRequestHandlerOptions extends Omit<RequestHandlerOptions, "policies"> {
  /** Operators' policy programs; `undefined` if only the routes' own settings apply. */
  readonly programs: CompiledPolicies | undefined;
}

/**
 * Creates the request handler.
 *
 * @param options - Dependencies of the handler and the policy programs.
 * @returns The request handler.
 */
export function makeRequestHandler({
  programs,
  ...options
}: MakeRequestHandlerOptions): RequestHandler {
  const { telemetry } = options;
  const policies = new RoutePolicies(programs, (policy, reason) => {
    telemetry.event("warn", "policy: program failed, using its default", { policy, reason });
  });
  return new RequestHandler({ ...options, policies });
}
