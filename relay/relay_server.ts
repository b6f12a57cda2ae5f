/**
 * Answers other boxes' orders for parts of leafs near this box.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MergedRelay } from "./_merged_relay.js";
import type { Relay, RelayServerOptions } from "./_relay.js";
import { SeparateRelay } from "./_separate_relay.js";
import { decodeRelayRequest, type RelayRequest } from "./relay_request.js";

/** Path at which other boxes ask. */
export const RELAY_PATH = "/peer/v1/parts";

const RELAYS: {
  readonly [K in RelayRequest["kind"]]: (
    order: Extract<RelayRequest, { readonly kind: K }>,
    response: ServerResponse,
    options: RelayServerOptions,
  ) => Relay;
} = {
  merged: (order, response, options) => new MergedRelay(order, response, options),
  separate: (order, response, options) => new SeparateRelay(order, response, options),
};

/**
 * Answers another box's order.
 *
 * @param request - Its request.
 * @param response - Where the frames go.
 * @param options - What the server needs of its box.
 */
export function handleRelayRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: RelayServerOptions,
): void {
  const chunks: Array<Buffer> = [];
  request.on("data", (chunk: Buffer) => chunks.push(chunk));
  request.on("end", () => {
    const order = decodeRelayRequest(Buffer.concat(chunks));
    if (order === undefined) {
      response.writeHead(400).end();
      return;
    }
    beginFrames(response);
    const make = RELAYS[order.kind] as (
      order: RelayRequest,
      response: ServerResponse,
      options: RelayServerOptions,
    ) => Relay;
    const relay = make(order, response, options);
    response.on("close", () => relay.stop());
    relay.start();
  });
}

/** Without the headers that boxes do not need; the connection is kept all the same. */
function beginFrames(response: ServerResponse): void {
  response.sendDate = false;
  response.removeHeader("connection");
  response.writeHead(200);
}
