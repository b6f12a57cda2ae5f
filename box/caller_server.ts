/**
 * The HTTP server for callers' requests.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { HttpConnections } from "../http/mod.js";
import {
  type CallerHeaders,
  decodeCallerHeaders,
  type EncodedReply,
  encodeReply,
  forwardedHeaders,
} from "../platform/mod.js";
import { requestFingerprint } from "../quarantine/mod.js";
import type { Reply } from "../request/mod.js";
import type { CallerLimits } from "../routing/mod.js";
import type { ForwardedRequest } from "./_runner_options.js";

/** A request that has been read completely. */
export interface IncomingRequest {
  readonly arrivedAtMs: number;
  /**
   * Whether it is the first request on its connection, so that the caller has also waited for the
   * connection.
   */
  readonly opensConnection: boolean;
  readonly host: string;
  readonly terms: CallerHeaders;
  /** The request without what its route determines. */
  readonly forwarded: Omit<ForwardedRequest, "acceptedRoute">;
}

/** Sends the reply to the caller. */
export type ReplyCallback = (reply: Reply) => void;

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly nowMs: () => number;
  /** Returns the maximum size of a request body in bytes; larger ones are refused. */
  readonly maxBodyBytes: () => number;
  /**
   * Returns whether the box is about to stop, so that responses ask callers to close the
   * connection.
   */
  readonly isLeaving: () => boolean;
  /**
   * Handles a request; the returned function is called if the caller disconnects before the reply.
   */
  readonly onRequest: (request: IncomingRequest, sendReply: ReplyCallback) => () => void;
}

/** Time for which idle connections are kept open beyond the configured timeout, in milliseconds. */
const IDLE_GRACE_MS = 1_000;

/** Maximum size of the headers in bytes; higher than the limit that callers apply themselves. */
const MAX_HEADER_BYTES = 65_536;

/** Maximum time for receiving a request, in milliseconds; well above the deadlines of callers. */
const REQUEST_TIMEOUT_MS = 30_000;

/** The server for callers' requests, with its connections. */
export interface CallerServer {
  readonly server: Server;
  readonly connections: HttpConnections;
}

/**
 * Creates the server; it is not listening yet.
 *
 * @param options - Limits and the handler of requests.
 * @returns The server and its connections.
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const knownSockets = new WeakSet<Socket>();
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES });
  const connections = new HttpConnections(server);
  const closes = (response: ServerResponse): boolean => {
    return options.isLeaving() && connections.closeAfter(response);
  };
  server.on("request", (request, response) => {
    if (connections.isClosing(request.socket)) {
      // Its answer could not be written any more.
      return;
    }
    const arrivedAtMs = options.nowMs();
    const opensConnection = !knownSockets.has(request.socket);
    knownSockets.add(request.socket);
    readBody(request, options.maxBodyBytes(), (body) => {
      if (body === "too long") {
        writeAnswer(response, BODY_TOO_LARGE, closes);
        return;
      }
      const received = { request, response, body, arrivedAtMs, opensConnection };
      handleRequest(received, { onRequest: options.onRequest, closes });
    });
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  return { server, connections };
}

/** Returns whether the connection closes after a response. */
type ClosePredicate = (response: ServerResponse) => boolean;

interface RequestHandling extends Pick<CallerServerOptions, "onRequest"> {
  readonly closes: ClosePredicate;
}

const BODY_TOO_LARGE: EncodedReply = {
  statusCode: 413,
  headers: ["Content-Type", "text/plain"],
  body: Buffer.from("Cannot take the body: it is too long"),
};

interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer | undefined;
  readonly arrivedAtMs: number;
  readonly opensConnection: boolean;
}

function handleRequest(
  { request, response, body, arrivedAtMs, opensConnection }: ReceivedRequest,
  { closes, onRequest }: RequestHandling,
): void {
  const { method = "GET", url: path = "/" } = request;
  const host = request.headers.host ?? "";
  const forwarded = {
    method,
    path,
    headers: forwardedHeaders(request.rawHeaders),
    body,
    fingerprint: requestFingerprint({ method, caller: host, path, body }),
  };
  const incoming: IncomingRequest = {
    arrivedAtMs,
    opensConnection,
    host,
    terms: decodeCallerHeaders(request.headers),
    forwarded,
  };
  let isAnswered = false;
  const onDisconnect = onRequest(incoming, (reply) => {
    isAnswered = true;
    writeAnswer(response, encodeReply(reply), closes);
  });
  response.on("close", () => {
    if (!isAnswered) {
      isAnswered = true;
      onDisconnect();
    }
  });
}

function readBody(
  request: IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer | undefined | "too long") => void,
): void {
  const hasBody =
    request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    onBody(undefined);
    return;
  }
  const chunks: Array<Buffer> = [];
  let sizeBytes = 0;
  request.on("data", (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes <= maxBytes) {
      chunks.push(chunk);
    }
  });
  request.on("end", () => onBody(sizeBytes > maxBytes ? "too long" : Buffer.concat(chunks)));
}

function writeAnswer(
  response: ServerResponse,
  { statusCode, headers, body }: EncodedReply,
  closes: ClosePredicate,
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const connection = closes(response) ? ["Connection", "close"] : [];
  response.writeHead(statusCode, [
    ...headers,
    "Content-Length",
    String(body.length),
    ...connection,
  ]);
  response.end(body);
}

/**
 * Sets the timeouts of idle connections. They are never shortened while the process runs, because
 * callers may still rely on the longer timeout for connections that are already open.
 *
 * @param server - The server.
 * @param limits - Timeouts that the configuration guarantees to callers.
 */
export function setKeepAliveTimeouts(
  server: Server,
  { idleTimeoutMs, headerTimeoutMs }: Pick<CallerLimits, "idleTimeoutMs" | "headerTimeoutMs">,
): void {
  server.keepAliveTimeout = Math.max(server.keepAliveTimeout, idleTimeoutMs + IDLE_GRACE_MS);
  server.headersTimeout = server.keepAliveTimeout + headerTimeoutMs;
}
