/**
 * Turns another box's order into calls to leafs.
 *
 * @module
 */
import { type LeafCall, maxAnswerBytes } from "../calls/mod.js";
import { requestFingerprint } from "../quarantine/mod.js";
import { type RelayRequest, servicesOf } from "./relay_request.js";

/** What all calls of an order share. */
export type LeafCallTemplate = Omit<LeafCall, "leaf" | "deadlineAtMs">;

/**
 * Makes what the calls of an order share.
 *
 * @param order - The order.
 * @returns The calls' common part; only requests without a body are ordered.
 */
export function leafCallTemplate(order: RelayRequest): LeafCallTemplate {
  const { requestId, method, path, headers } = order;
  const body = undefined;
  const host = hostOf(headers);
  const fingerprint = requestFingerprint({ method, caller: host, path, body });
  const routeKey = { host, path };
  const content = { requestId, method, path, headers, body, fingerprint, routeKey };
  const mostBytes = maxAnswerBytes(servicesOf(order).length);
  return { ...content, maxBytes: mostBytes, repeatable: true, isTrial: false };
}

function hostOf(headers: ReadonlyArray<string>): string {
  const name = headers.findIndex((each, index) => {
    return index % 2 === 0 && each.toLowerCase() === "host";
  });
  return name < 0 ? "" : (headers[name + 1] ?? "");
}
