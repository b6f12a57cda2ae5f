/**
 * HTTP server helpers shared by the stand-ins.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** A received request with its complete body. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
}

/**
 * Starts a server that reads each request body completely before it calls the handler.
 *
 * @param handle - Handles a request.
 * @param options - Address and port to listen on; port 0 for any free port.
 * @returns The server and its port.
 */
export async function serve(
  handle: (request: StandinRequest) => void,
  { address, port }: { readonly address: string; readonly port: number },
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((request, response) => {
    const chunks: Array<Buffer> = [];
    response.on("error", () => undefined);
    request.on("error", () => undefined);
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const url = new URL(request.url ?? "/", "http://standin");
      const body = Buffer.concat(chunks).toString("utf8");
      const { pathname: path, searchParams: query } = url;
      handle({ method: request.method ?? "", path, query, request, response, body });
    });
  });
  server.keepAliveTimeout = 120_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => resolve());
  });
  const bound = server.address();
  return { server, port: typeof bound === "object" && bound !== null ? bound.port : 0 };
}

/**
 * Sends a JSON response unless one was sent or the connection is closed.
 *
 * @param response - Response to write to.
 * @param statusCode - HTTP status code.
 * @param body - Value to serialize.
 */
export function reply(response: ServerResponse, statusCode: number, body: unknown): void {
  replyText(response, statusCode, JSON.stringify(body));
}

/**
 * Sends JSON text unless a response was sent or the connection is closed.
 *
 * @param response - Response to write to.
 * @param statusCode - HTTP status code.
 * @param text - JSON text.
 */
export function replyText(response: ServerResponse, statusCode: number, text: string): void {
  if (!response.destroyed && !response.headersSent) {
    response.writeHead(statusCode, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}
