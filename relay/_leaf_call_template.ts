/**
 * Derives leaf calls from a relay request.
 *
 * @module
 */
import { type LeafCall, maxAnswerBytes } from "../calls/mod.js";
import { requestFingerprint } from "../quarantine/mod.js";
import { type RelayRequest, servicesOf } from "./relay_request.js";

/** Properties that all leaf calls of a relay request share. */
export type LeafCallTemplate = Omit<LeafCall, "leaf" | "deadlineAtMs" | "isFirst">;

/**
 * Creates the properties that all leaf calls of a relay request share. The fingerprint equals that
 * of the requesting box, so that both recognize a query that crashes leafs.
 *
 * @param request - The relay request.
 * @returns The shared properties.
 */
export function leafCallTemplate(request: RelayRequest): LeafCallTemplate {
  const { allowedRegions, requestId, method, path, headers, body } = request;
  const host = hostOf(headers);
  const fingerprint = requestFingerprint({ method, caller: host, path, body });
  const acceptedRoute = { key: { host, path }, allowedRegions };
  const content = { requestId, method, path, headers, body, fingerprint, acceptedRoute };
  const maxBytes = maxAnswerBytes(servicesOf(request).length);
  return { ...content, maxBytes, repeatable: true, isTrial: false };
}

function hostOf(headers: ReadonlyArray<string>): string {
  const name = headers.findIndex((each, index) => {
    return index % 2 === 0 && each.toLowerCase() === "host";
  });
  return name < 0 ? "" : (headers[name + 1] ?? "");
}
