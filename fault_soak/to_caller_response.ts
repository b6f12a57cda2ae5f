/**
 * Converts the responses of callers that write to sockets themselves.
 *
 * @module
 */
import type { CallerResponse } from "../platform/standin/mod.js";
import type { RawResponse } from "../standins/raw_caller.js";

/**
 * Parses the headers of a complete response.
 *
 * @param response - The response as it arrived.
 * @returns The response with its headers by name, in lower case.
 */
export function toCallerResponse({ statusCode, head, body }: RawResponse): CallerResponse {
  const lines = head.split("\r\n").slice(1);
  const headers = lines.map((line) => {
    const colonAt = line.indexOf(":");
    return [line.slice(0, colonAt).toLowerCase(), line.slice(colonAt + 1).trim()] as const;
  });
  return { statusCode, headers: Object.fromEntries(headers), body };
}
