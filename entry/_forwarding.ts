/**
 * Passes a query on to the entry that gave its ticket.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { request } from "undici";
import { ANSWER_MARGIN_MS, type Member } from "../model/mod.js";

/** Header that marks a query which another entry passed on. */
const FORWARDED_HEADER = "rackvale-forwarded";

/** A query as its caller sent it, with the response that waits for its answer. */
export interface WaitingCaller {
  readonly response: ServerResponse;
  readonly body: unknown;
}

/** What the other entry answered. */
export interface ForwardedAnswer {
  readonly statusCode: number;
  readonly body: object;
}

/**
 * Tells whether a query was passed on by another entry.
 *
 * @param request - The request.
 * @returns Whether it was; it is not passed on once more.
 */
export function isForwarded({ headers }: IncomingMessage): boolean {
  return headers[FORWARDED_HEADER] === "true";
}

/**
 * Passes a query on.
 *
 * @param caller - The query and where its answer goes.
 * @param member - The other entry.
 * @returns Its answer.
 * @throws Where there is none in time: it cannot be told then whether the query ran.
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
    signal: AbortSignal.timeout(Math.max(1, deadlineMs - ANSWER_MARGIN_MS)),
  });
  return { statusCode: answer.statusCode, body: (await answer.body.json()) as object };
}
