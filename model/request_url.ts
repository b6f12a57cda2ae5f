/**
 * The URL of a received HTTP request.
 *
 * @module
 */

/** Completes the target of a request to a URL; its host is not used. */
const BASE_URL = "http://host";

/**
 * Parses the target of a received request.
 *
 * @param target - Path and query, or an absolute URL, as the client has sent it.
 * @returns The URL, or `undefined` if the target is none, such as `//`.
 */
export function parseRequestUrl(target: string): URL | undefined {
  return URL.canParse(target, BASE_URL) ? new URL(target, BASE_URL) : undefined;
}
