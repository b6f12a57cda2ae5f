/**
 * Reads request bodies and writes responses over HTTP.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Why a request is rejected. */
export interface HttpFault {
  readonly statusCode: number;
  /** One sentence. */
  readonly message: string;
  /** Field at fault; empty if there is none. */
  readonly field: string;
}

/**
 * Creates a fault.
 *
 * @param statusCode - HTTP status.
 * @param message - One sentence.
 * @param field - Field at fault.
 * @returns The fault.
 */
export function httpFault(statusCode: number, message: string, field = ""): HttpFault {
  return { statusCode, message, field };
}

/**
 * Reads a JSON body of bounded size.
 *
 * @param request - The request.
 * @param options - Maximum size of the body, in bytes.
 * @returns The parsed data, or why the body is rejected.
 */
export async function readJson(
  request: IncomingMessage,
  { maxBytes }: { readonly maxBytes: number },
): Promise<Result<unknown, HttpFault>> {
  const chunks: Array<Buffer> = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        return err(httpFault(413, `Cannot take the body: over ${maxBytes} bytes`));
      }
      chunks.push(chunk);
    }
    return ok(JSON.parse(Buffer.concat(chunks).toString("utf8")));
  } catch (error) {
    const cause = error instanceof SyntaxError ? "not JSON" : "cut short";
    return err(httpFault(400, `Cannot read the body: ${cause}`));
  }
}

/** Status code and headers of a response. */
export interface WriteOptions {
  readonly statusCode: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Writes a JSON response, unless one was sent already or the caller has disconnected.
 *
 * @param response - The response.
 * @param body - The body.
 * @param options - Status and headers.
 */
export function writeJson(
  response: ServerResponse,
  body: unknown,
  { statusCode, headers = {} }: WriteOptions,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const text = JSON.stringify(body);
  response.writeHead(statusCode, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/**
 * Writes a fault as a JSON response.
 *
 * @param response - The response.
 * @param fault - The fault.
 */
export function writeFault(
  response: ServerResponse,
  { statusCode, message, field }: HttpFault,
): void {
  const error = field === "" ? { message } : { message, field };
  const headers: WriteOptions["headers"] = statusCode === 413 ? { connection: "close" } : {};
  writeJson(response, { error }, { statusCode, headers });
}
