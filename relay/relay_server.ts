/**
 * Server for relay requests of other boxes.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MergedRelay } from "./_merged_relay.js";
import type { Relay, RelayOptions, RelayServerOptions } from "./_relay.js";
import { SeparateRelay } from "./_separate_relay.js";
import { encodeRelayFrame } from "./relay_frames.js";
import { decodeRelayRequest, type RelayRequest, servicesOf } from "./relay_request.js";
import { decodeSentTime, SENT_HEADER } from "./transit_delays.js";

/** Path of relay requests. */
export const RELAY_PATH = "/peer/v1/parts";

/** Minimum time left for which leafs are called, in milliseconds. */
const MIN_LEFT_MS = 10;

const HANDLERS: {
  readonly [K in RelayRequest["kind"]]: (
    request: Extract<RelayRequest, { readonly kind: K }>,
    response: ServerResponse,
    options: RelayOptions,
  ) => Relay;
} = {
  merged: (request, response, options) => new MergedRelay(request, response, options),
  separate: (request, response, options) => new SeparateRelay(request, response, options),
};

/**
 * Handles a relay request.
 *
 * @param request - The HTTP request.
 * @param response - The HTTP response that frames are written to.
 * @param options - Options of the relay server.
 */
export function handleRelayRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: RelayServerOptions,
): void {
  const chunks: Array<Buffer> = [];
  request.on("data", (chunk: Buffer) => chunks.push(chunk));
  request.on("end", () => {
    const relayRequest = decodeRelayRequest(Buffer.concat(chunks));
    if (relayRequest === undefined) {
      response.writeHead(400).end();
      return;
    }
    const received = withoutDelay(relayRequest, delayOf(request, relayRequest, options));
    startResponse(response);
    if (received.leftMs < MIN_LEFT_MS || options.isDeclining()) {
      response.end(declineAll(received));
      return;
    }
    const createRelay = HANDLERS[relayRequest.kind] as (
      request: RelayRequest,
      response: ServerResponse,
      options: RelayOptions,
    ) => Relay;
    const relay = createRelay(received, response, options);
    response.on("close", () => relay.stop());
    relay.start();
  });
}

/** Returns for how long a request was under way, in milliseconds. */
function delayOf(
  { headers }: IncomingMessage,
  { requestId, leftMs }: RelayRequest,
  { delays, nowMs, onReceived }: RelayServerOptions,
): number {
  const sentTime = decodeSentTime(headers[SENT_HEADER]?.toString());
  const delayMs = delays.record(sentTime, nowMs());
  onReceived({ requestId, leftMs, delayMs });
  return delayMs;
}

/** Subtracts the time under way from the time left, which the sender stated when it sent the request. */
function withoutDelay(request: RelayRequest, delayMs: number): RelayRequest {
  return { ...request, leftMs: Math.floor(request.leftMs - delayMs) };
}

function declineAll(request: RelayRequest): Buffer {
  const services = servicesOf(request);
  const failed = new Map(services.map((service) => [service, "declined"] as const));
  return encodeRelayFrame({ signatures: new Map(), records: Buffer.alloc(0), failed }, services);
}

/**
 * Starts the response without headers that boxes do not need. The connection stays open regardless.
 */
function startResponse(response: ServerResponse): void {
  response.sendDate = false;
  response.removeHeader("connection");
  response.writeHead(200);
}
