/**
 * Server for relay requests of other boxes.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MergedRelay } from "./_merged_relay.js";
import type { Relay, RelayOptions, RelayServerOptions } from "./_relay.js";
import { SeparateRelay } from "./_separate_relay.js";
import { decodeRelayRequest, type RelayRequest } from "./relay_request.js";
import { decodeSentTime, SENT_HEADER } from "./transit_delays.js";

/** Path of relay requests. */
export const RELAY_PATH = "/peer/v1/parts";

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
    recordDelay(request, relayRequest, options);
    startResponse(response);
    const createRelay = HANDLERS[relayRequest.kind] as (
      request: RelayRequest,
      response: ServerResponse,
      options: RelayOptions,
    ) => Relay;
    const relay = createRelay(relayRequest, response, options);
    response.on("close", () => relay.stop());
    relay.start();
  });
}

function recordDelay(
  { headers }: IncomingMessage,
  { requestId, leftMs }: RelayRequest,
  { delays, nowMs, onReceived }: RelayServerOptions,
): void {
  const sentTime = decodeSentTime(headers[SENT_HEADER]?.toString());
  const delayMs = delays.record(sentTime, nowMs());
  onReceived({ requestId, leftMs, delayMs });
}

/**
 * Starts the response without headers that boxes do not need. The connection stays open regardless.
 */
function startResponse(response: ServerResponse): void {
  response.sendDate = false;
  response.removeHeader("connection");
  response.writeHead(200);
}
