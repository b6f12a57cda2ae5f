/**
 * How boxes ask one another for parts: an order as a JSON list, deflated. It names no fields, as these
 * bytes pass between regions and each has its price.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import * as z from "zod/mini";

/** Longest order taken, in bytes; far above what callers' headers and a query's shards come to. */
const MAX_ORDER_BYTES = 1_048_576;

/** The caller's request, as leafs are to see it. */
interface OrderedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Headers that are passed on to leafs, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly topRecords: number;
  /** Time left, in whole milliseconds. */
  readonly leftMs: number;
}

/** Asks for one part of each service, merged; the box picks the leafs. */
export interface MergedRelayRequest extends OrderedRequest {
  readonly kind: "merged";
  readonly services: ReadonlyArray<string>;
  /** Longest time to wait before what has come in is handed over, in whole milliseconds. */
  readonly waitLimitMs: number;
}

/** Asks the leafs named, and for each part by itself as soon as it is in. */
export interface SeparateRelayRequest extends OrderedRequest {
  readonly kind: "separate";
  readonly calls: ReadonlyArray<SeparateCall>;
  /** Records below this one are not wanted. */
  readonly minRecord: Buffer | undefined;
}

/** One leaf that is to be asked. */
export interface SeparateCall {
  readonly service: string;
  readonly leafId: string;
}

/** What a box asks another for. */
export type RelayRequest = MergedRelayRequest | SeparateRelayRequest;

/**
 * What an order must hold, in this sequence. A box that took it as it comes would end under one whose
 * values are of other types, and the box that asked would turn to the next.
 */
const REQUEST_FIELDS = [
  z.string(), // id of the request
  z.string(), // method
  z.string(), // path
  z.array(z.string()).check(z.refine((headers) => headers.length % 2 === 0)),
  z.int().check(z.minimum(0)), // records wanted
  z.number(), // time left
  z.array(z.string()), // services
] as const;
const MERGED_FIELDS = z.tuple([z.literal("merged"), ...REQUEST_FIELDS, z.number()]);
const SEPARATE_FIELDS = z.tuple([
  z.literal("separate"),
  ...REQUEST_FIELDS,
  z.array(z.string()), // leafs, one for each service
  z.string(), // least record wanted
]);
const ORDER_FIELDS = z.union([MERGED_FIELDS, SEPARATE_FIELDS]);

const ORDER_ENCODERS: {
  readonly [K in RelayRequest["kind"]]: (
    order: Extract<RelayRequest, { readonly kind: K }>,
  ) => ReadonlyArray<unknown>;
} = {
  merged: ({ services, waitLimitMs: patienceMs }) => [services, patienceMs],
  separate: ({ calls, minRecord: leastRecord }) => [
    calls.map(({ service }) => service),
    calls.map(({ leafId }) => leafId),
    leastRecord?.toString("base64") ?? "",
  ],
};

/**
 * Writes an order.
 *
 * @param order - The order.
 * @returns Its bytes.
 */
export function encodeRelayRequest(order: RelayRequest): Buffer {
  const { kind, requestId, method, path, headers, topRecords, leftMs } = order;
  const encode = ORDER_ENCODERS[kind] as (order: RelayRequest) => ReadonlyArray<unknown>;
  const fields = [kind, requestId, method, path, headers, topRecords, leftMs, ...encode(order)];
  return deflateRawSync(JSON.stringify(fields));
}

/**
 * Lists the services that an order asks for; frames name them by their place.
 *
 * @param order - The order.
 * @returns The services, in the order's own sequence.
 */
export function servicesOf(order: RelayRequest): ReadonlyArray<string> {
  return order.kind === "merged" ? order.services : order.calls.map(({ service }) => service);
}

function mergedOrder(fields: z.infer<typeof MERGED_FIELDS>): MergedRelayRequest {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, patienceMs] = fields;
  const request = { requestId, method, path, headers, topRecords, leftMs };
  return { kind, ...request, services, waitLimitMs: patienceMs };
}

function separateOrder(fields: z.infer<typeof SEPARATE_FIELDS>): SeparateRelayRequest | undefined {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, ...rest] = fields;
  const [leafIds, least] = rest;
  if (leafIds.length !== services.length) {
    return undefined;
  }
  const leastRecord = least === "" ? undefined : Buffer.from(least, "base64");
  const calls = services.map((service, index) => ({ service, leafId: leafIds[index] ?? "" }));
  return {
    kind,
    requestId,
    method,
    path,
    headers,
    topRecords,
    leftMs,
    calls,
    minRecord: leastRecord,
  };
}

/**
 * Reads an order.
 *
 * @param body - Its bytes.
 * @returns The order, or nothing where it is none.
 */
export function decodeRelayRequest(body: Buffer): RelayRequest | undefined {
  try {
    const plain = inflateRawSync(body, { maxOutputLength: MAX_ORDER_BYTES });
    const fields = ORDER_FIELDS.safeParse(JSON.parse(plain.toString("utf8")));
    if (!fields.success) {
      return undefined;
    }
    const { data } = fields;
    return data[0] === "merged" ? mergedOrder(data) : separateOrder(data);
  } catch {
    return undefined;
  }
}
