/**
 * Wire format of relay requests: a deflated JSON array. Fields are identified by position to reduce
 * traffic between regions.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import * as z from "zod/mini";

/** Maximum size of an inflated relay request, in bytes. */
const MAX_REQUEST_BYTES = 1_048_576;

/** The caller's request, as sent to the leafs. */
interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Headers to forward to leafs: names and values in alternation. */
  readonly headers: ReadonlyArray<string>;
  readonly topRecords: number;
  /** Remaining time until the deadline, in milliseconds (an integer). */
  readonly leftMs: number;
}

/** Requests one part per service, merged; the relaying box selects the leafs. */
export interface MergedRelayRequest extends ForwardedRequest {
  readonly kind: "merged";
  readonly services: ReadonlyArray<string>;
  /** Maximum time before the first frame is sent, in milliseconds (an integer). */
  readonly waitLimitMs: number;
}

/** Requests parts from the given leafs, each sent as soon as it arrives. */
export interface SeparateRelayRequest extends ForwardedRequest {
  readonly kind: "separate";
  readonly calls: ReadonlyArray<SeparateCall>;
  /** Records below this one are omitted. */
  readonly minRecord: Buffer | undefined;
}

/** A leaf to call. */
export interface SeparateCall {
  readonly service: string;
  readonly leafId: string;
}

/** A request from one box to another to call leafs. */
export type RelayRequest = MergedRelayRequest | SeparateRelayRequest;

/**
 * Fields of a relay request, in this order. Validated so that a malformed request cannot crash the
 * relaying box.
 */
const REQUEST_FIELDS = [
  z.string(), // request id
  z.string(), // method
  z.string(), // path
  z.array(z.string()).check(z.refine((headers) => headers.length % 2 === 0)),
  z.int().check(z.minimum(0)), // maximum number of records
  z.number(), // remaining time
  z.array(z.string()), // services
] as const;
const MERGED_FIELDS = z.tuple([z.literal("merged"), ...REQUEST_FIELDS, z.number()]);
const SEPARATE_FIELDS = z.tuple([
  z.literal("separate"),
  ...REQUEST_FIELDS,
  z.array(z.string()), // leaf ids, one per service
  z.string(), // minimum record
]);
const RELAY_REQUEST_FIELDS = z.union([MERGED_FIELDS, SEPARATE_FIELDS]);

const ENCODERS: {
  readonly [K in RelayRequest["kind"]]: (
    request: Extract<RelayRequest, { readonly kind: K }>,
  ) => ReadonlyArray<unknown>;
} = {
  merged: ({ services, waitLimitMs }) => [services, waitLimitMs],
  separate: ({ calls, minRecord }) => [
    calls.map(({ service }) => service),
    calls.map(({ leafId }) => leafId),
    minRecord?.toString("base64") ?? "",
  ],
};

/**
 * Encodes a relay request.
 *
 * @param request - The relay request.
 * @returns The encoded request.
 */
export function encodeRelayRequest(request: RelayRequest): Buffer {
  const { kind, requestId, method, path, headers, topRecords, leftMs } = request;
  const encode = ENCODERS[kind] as (request: RelayRequest) => ReadonlyArray<unknown>;
  const fields = [kind, requestId, method, path, headers, topRecords, leftMs, ...encode(request)];
  return deflateRawSync(JSON.stringify(fields));
}

/**
 * Lists the services of a relay request. Frames refer to them by index.
 *
 * @param request - The relay request.
 * @returns The services, in the order of the request.
 */
export function servicesOf(request: RelayRequest): ReadonlyArray<string> {
  return request.kind === "merged" ? request.services : request.calls.map(({ service }) => service);
}

function mergedRequest(fields: z.infer<typeof MERGED_FIELDS>): MergedRelayRequest {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, waitLimitMs] =
    fields;
  const request = { requestId, method, path, headers, topRecords, leftMs };
  return { kind, ...request, services, waitLimitMs };
}

function separateRequest(
  fields: z.infer<typeof SEPARATE_FIELDS>,
): SeparateRelayRequest | undefined {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, ...rest] = fields;
  const [leafIds, encodedMinRecord] = rest;
  if (leafIds.length !== services.length) {
    return undefined;
  }
  const minRecord = encodedMinRecord === "" ? undefined : Buffer.from(encodedMinRecord, "base64");
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
    minRecord,
  };
}

/**
 * Decodes a relay request.
 *
 * @param body - The encoded request.
 * @returns The request, or `undefined` if it is invalid.
 */
export function decodeRelayRequest(body: Buffer): RelayRequest | undefined {
  try {
    const plain = inflateRawSync(body, { maxOutputLength: MAX_REQUEST_BYTES });
    const fields = RELAY_REQUEST_FIELDS.safeParse(JSON.parse(plain.toString("utf8")));
    if (!fields.success) {
      return undefined;
    }
    const { data } = fields;
    return data[0] === "merged" ? mergedRequest(data) : separateRequest(data);
  } catch {
    return undefined;
  }
}
