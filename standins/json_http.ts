/**
 * HTTP client helpers that send and receive JSON, for tests and benchmarks.
 *
 * @module
 */
import { request } from "undici";

/** Status, headers and parsed body of a response. */
export interface JsonResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: unknown;
}

async function sendJson(method: "POST" | "PUT", url: string, body: unknown): Promise<JsonResponse> {
  const response = await request(url, {
    method,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
    headersTimeout: 70_000,
  });
  return {
    statusCode: response.statusCode,
    headers: response.headers,
    body: await response.body.json(),
  };
}

/**
 * Sends a POST request with a JSON body.
 *
 * @param url - URL of the request.
 * @param body - Value to serialize.
 * @returns The response.
 */
export function postJson(url: string, body: unknown): Promise<JsonResponse> {
  return sendJson("POST", url, body);
}

/**
 * Sends a PUT request with a JSON body.
 *
 * @param url - URL of the request.
 * @param body - Value to serialize.
 * @returns The response.
 */
export function putJson(url: string, body: unknown): Promise<JsonResponse> {
  return sendJson("PUT", url, body);
}

/**
 * Sends a GET request and parses the JSON response.
 *
 * @param url - URL of the request.
 * @returns Parsed body of the response.
 */
export async function getJson(url: string): Promise<unknown> {
  const response = await request(url);
  return response.body.json();
}
