/**
 * The little HTTP that the stand-ins share.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** One request as a stand-in sees it. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
}

/**
 * Starts a server that reads whole bodies.
 *
 * @param handle - Answers a request.
 * @param options - Where to listen; port 0 for any that is free.
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
 * Writes a JSON answer.
 *
 * @param response - Where to write.
 * @param statusCode - HTTP status.
 * @param body - The body.
 */
export function reply(response: ServerResponse, statusCode: number, body: unknown): void {
  if (!response.destroyed && !response.headersSent) {
    const text = JSON.stringify(body);
    response.writeHead(statusCode, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}
