/**
 * Forwards a query to the entry that issued its ticket.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { request } from "undici";
import { timeoutSignal } from "../clock/mod.js";
import { ANSWER_MARGIN_MS, type Member } from "../model/mod.js";

/** Header that marks a query forwarded by another entry. */
const FORWARDED_HEADER = "rackvale-forwarded";

/** A caller's request body, with the response to write the answer to. */
export interface WaitingCaller {
  readonly response: ServerResponse;
  readonly body: unknown;
}

/** Response of the other entry. */
export interface ForwardedAnswer {
  readonly statusCode: number;
  readonly body: object;
}

/**
 * Returns whether a query was forwarded by another entry.
 *
 * @param request - The request.
 * @returns Whether it was forwarded; such a query is not forwarded again.
 */
export function isForwarded({ headers }: IncomingMessage): boolean {
  return headers[FORWARDED_HEADER] === "true";
}

/**
 * Forwards a query to another entry.
 *
 * @param caller - Request body and response of the caller.
 * @param member - The other entry.
 * @returns Response of the other entry.
 * @throws If no response arrives in time; it is then unknown whether the query ran.
 */
export async function forwardQuery(
  { response, body }: WaitingCaller,
  member: Member,
): Promise<ForwardedAnswer> {
  const service = response.req.url?.split("/")[3] ?? "";
  const { deadlineMs = 0 } = body as { readonly deadlineMs?: number };
  const host = member.address.includes(":") ? `[${member.address}]` : member.address;
  const url = `http://${host}:${member.callerPort}/v1/services/${service}/query`;
  const answer = await request(url, {
    method: "POST",
    headers: { "content-type": "application/json", [FORWARDED_HEADER]: "true" },
    body: JSON.stringify(body),
    signal: timeoutSignal(Math.max(1, deadlineMs - ANSWER_MARGIN_MS)),
  });
  return { statusCode: answer.statusCode, body: (await answer.body.json()) as object };
}
