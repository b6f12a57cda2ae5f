/**
 * Wire format of relay requests: a deflated JSON array, followed by the bytes of the caller's body.
 * Fields are identified by position to reduce traffic between regions.
 *
 * Only a request with a body has the field with its size, and only a request that is restricted to
 * regions has the field that lists them. Builds that do not know a field reject the request,
 * instead of sending it to leafs without its body or in other regions.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import * as z from "zod/mini";
import type { LeafRequest } from "../calls/mod.js";
import { type AllowedRegions, ANY_REGION } from "../routing/mod.js";

/** Maximum size of the inflated fields of a relay request, in bytes. */
const MAX_REQUEST_BYTES = 1_048_576;

/** The caller's request and the terms of its parts. */
interface PartsRequest extends LeafRequest {
  /** Regions whose leafs may be called, as the requesting box knows them. */
  readonly allowedRegions: AllowedRegions;
  readonly topRecords: number;
  /** Remaining time until the deadline, in milliseconds (an integer). */
  readonly leftMs: number;
}

/** Requests one part per service, merged; the relaying box selects the leafs. */
export interface MergedRelayRequest extends PartsRequest {
  readonly kind: "merged";
  readonly services: ReadonlyArray<string>;
  /** Maximum time before the first frame is sent, in milliseconds (an integer). */
  readonly waitLimitMs: number;
}

/** Requests parts from the given leafs, each sent as soon as it arrives. */
export interface SeparateRelayRequest extends PartsRequest {
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
/** `null` for no body where another field follows. */
const BODY_SIZE_FIELD = z.optional(z.nullable(z.int().check(z.minimum(0))));
const REGIONS_FIELD = z.optional(z.array(z.string()));
const MERGED_FIELDS = z.tuple([
  z.literal("merged"),
  ...REQUEST_FIELDS,
  z.number(), // maximum time before the first frame
  BODY_SIZE_FIELD,
  REGIONS_FIELD,
]);
const SEPARATE_FIELDS = z.tuple([
  z.literal("separate"),
  ...REQUEST_FIELDS,
  z.array(z.string()), // leaf ids, one per service
  z.string(), // minimum record
  BODY_SIZE_FIELD,
  REGIONS_FIELD,
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
  const { kind, requestId, method, path, headers, body, topRecords, leftMs } = request;
  const encode = ENCODERS[kind] as (request: RelayRequest) => ReadonlyArray<unknown>;
  const fields = [kind, requestId, method, path, headers, topRecords, leftMs, ...encode(request)];
  const encoded = deflateRawSync(JSON.stringify([...fields, ...optionalFields(request)]));
  return body === undefined ? encoded : Buffer.concat([encoded, body]);
}

/** Returns the fields that only some requests have. */
function optionalFields({ allowedRegions, body }: RelayRequest): ReadonlyArray<unknown> {
  if (allowedRegions.kind === "only") {
    return [body?.length ?? null, allowedRegions.regions];
  }
  return body === undefined ? [] : [body.length];
}

function decodeRegions(regions: ReadonlyArray<string> | undefined): AllowedRegions {
  return regions === undefined ? ANY_REGION : { kind: "only", regions };
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

function mergedRequest(
  fields: z.infer<typeof MERGED_FIELDS>,
  encoded: Buffer,
): MergedRelayRequest | undefined {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, ...rest] = fields;
  const [waitLimitMs, bodySizeBytes, regions] = rest;
  if (!hasBytes(encoded, bodySizeBytes)) {
    return undefined;
  }
  const body = bodyOf(encoded, bodySizeBytes);
  const allowedRegions = decodeRegions(regions);
  const request = { allowedRegions, requestId, method, path, headers, body, topRecords, leftMs };
  return { kind, ...request, services, waitLimitMs };
}

function separateRequest(
  fields: z.infer<typeof SEPARATE_FIELDS>,
  encoded: Buffer,
): SeparateRelayRequest | undefined {
  const [kind, requestId, method, path, headers, topRecords, leftMs, services, ...rest] = fields;
  const [leafIds, encodedMinRecord, bodySizeBytes, regions] = rest;
  if (leafIds.length !== services.length || !hasBytes(encoded, bodySizeBytes)) {
    return undefined;
  }
  const minRecord = encodedMinRecord === "" ? undefined : Buffer.from(encodedMinRecord, "base64");
  const calls = services.map((service, index) => ({ service, leafId: leafIds[index] ?? "" }));
  const body = bodyOf(encoded, bodySizeBytes);
  const allowedRegions = decodeRegions(regions);
  const request = { allowedRegions, requestId, method, path, headers, body, topRecords, leftMs };
  return { kind, ...request, calls, minRecord };
}

/** Whether a request that states the size of its body is long enough to contain it. */
function hasBytes(encoded: Buffer, bodySizeBytes: number | null | undefined): boolean {
  return (bodySizeBytes ?? 0) <= encoded.length;
}

/** Returns the body, which ends the request; inflating stops at the end of the fields. */
function bodyOf(encoded: Buffer, bodySizeBytes: number | null | undefined): Buffer | undefined {
  return typeof bodySizeBytes === "number"
    ? encoded.subarray(encoded.length - bodySizeBytes)
    : undefined;
}

/**
 * Decodes a relay request.
 *
 * @param encoded - The encoded request.
 * @returns The request, or `undefined` if it is invalid.
 */
export function decodeRelayRequest(encoded: Buffer): RelayRequest | undefined {
  try {
    const plain = inflateRawSync(encoded, { maxOutputLength: MAX_REQUEST_BYTES });
    const fields = RELAY_REQUEST_FIELDS.safeParse(JSON.parse(plain.toString("utf8")));
    if (!fields.success) {
      return undefined;
    }
    const { data } = fields;
    return data[0] === "merged" ? mergedRequest(data, encoded) : separateRequest(data, encoded);
  } catch {
    return undefined;
  }
}
