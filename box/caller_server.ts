/**
 * Takes callers' requests over HTTP and writes their answers.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
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

/** A request as it came in, read whole. */
export interface IncomingRequest {
  readonly arrivedAtMs: number;
  /** Whether it is the first on its connection, so that the caller has waited for that as well. */
  readonly opensConnection: boolean;
  readonly host: string;
  readonly terms: CallerHeaders;
  readonly forwarded: ForwardedRequest;
}

/** What is known of an answer once it has been handed to the caller's connection. */
export type ReplyCallback = (reply: Reply) => void;

/** What the server needs of its box. */
export interface CallerServerOptions {
  readonly nowMs: () => number;
  /** Most bytes of a body; bodies over it are refused. */
  readonly maxBodyBytes: () => number;
  /** Whether answers ask callers to close their connections, as the box is about to stop. */
  readonly isLeaving: () => boolean;
  /** Takes a request; the function returned is called when the caller goes before its answer. */
  readonly onRequest: (request: IncomingRequest, answer: ReplyCallback) => () => void;
}

/** Time that a resting connection is kept beyond the one promised, in milliseconds. */
const IDLE_SLACK_MS = 1_000;

/** Most bytes of headers taken; callers' own limit is lower. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Longest time that a caller may take to send a request, in milliseconds; it is told then that the
 * request has not run. Well above any deadline of a caller that sends in time.
 */
const MOST_READ_MS = 30_000;

/**
 * Makes the server that faces callers; it is not listening yet.
 *
 * @param options - What the server needs of its box.
 * @returns The server.
 */
export function createCallerServer(options: CallerServerOptions): Server {
  const known = new WeakSet<Socket>();
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
    const arrivedAtMs = options.nowMs();
    const opensConnection = !known.has(request.socket);
    known.add(request.socket);
    readBody(request, options.maxBodyBytes(), (body) => {
      if (body === "too long") {
        writeAnswer(response, TOO_LONG, options);
        return;
      }
      takeRequest({ request, response, body, arrivedAtMs, opensConnection }, options);
    });
  });
  server.requestTimeout = MOST_READ_MS;
  return server;
}

const TOO_LONG: EncodedReply = {
  statusCode: 413,
  headers: ["Content-Type", "text/plain"],
  body: Buffer.from("Cannot take the body: it is too long"),
};

interface ReadRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer | undefined;
  readonly arrivedAtMs: number;
  readonly opensConnection: boolean;
}

function takeRequest(
  { request, response, body, arrivedAtMs, opensConnection }: ReadRequest,
  options: CallerServerOptions,
): void {
  const { method = "GET", url: path = "/" } = request;
  const host = request.headers.host ?? "";
  const forwarded: ForwardedRequest = {
    method,
    path,
    headers: forwardedHeaders(request.rawHeaders),
    body,
    routeKey: { host, path },
    fingerprint: requestFingerprint({ method, caller: host, path, body }),
  };
  const arrived: IncomingRequest = {
    arrivedAtMs,
    opensConnection,
    host,
    terms: decodeCallerHeaders(request.headers),
    forwarded,
  };
  let answered = false;
  const callerGone = options.onRequest(arrived, (reply) => {
    answered = true;
    writeAnswer(response, encodeReply(reply), options);
  });
  response.on("close", () => {
    if (!answered) {
      answered = true;
      callerGone();
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
  { isLeaving }: CallerServerOptions,
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const connection = isLeaving() ? ["Connection", "close"] : [];
  response.writeHead(statusCode, [
    ...headers,
    "Content-Length",
    String(body.length),
    ...connection,
  ]);
  response.end(body);
}

/**
 * Keeps connections that rest for as long as the configuration promises. Never shortened within a
 * life: connections that rest now were promised the longer time.
 *
 * @param server - The server.
 * @param limits - What callers were promised.
 */
export function setKeepAliveTimeouts(
  server: Server,
  { idleTimeoutMs, headerTimeoutMs }: Pick<CallerLimits, "idleTimeoutMs" | "headerTimeoutMs">,
): void {
  server.keepAliveTimeout = Math.max(server.keepAliveTimeout, idleTimeoutMs + IDLE_SLACK_MS);
  server.headersTimeout = server.keepAliveTimeout + headerTimeoutMs;
}
