/**
 * Wire format of relayed parts: frames of a JSON header and record bytes, each prefixed with its
 * length. Headers refer to services by their index in the relay request, and are deflated where
 * that saves bytes.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { FailedPart, RelayedParts } from "../request/mod.js";

/**
 * Header of a frame: service indexes and signatures in alternation, the queueing delay in
 * milliseconds, then the indexes of services without a part, one list per reason. Empty trailing
 * items are omitted.
 */
type FrameHeader = readonly [
  signatures: ReadonlyArray<number | string>,
  queueMs?: number,
  ...failed: ReadonlyArray<ReadonlyArray<number>>,
];

/** Failure reasons, in the order of their lists in the header. */
const REASONS: ReadonlyArray<FailedPart> = [
  "declined",
  "refused",
  "failed",
  "connection closed",
  "blocked",
];

const LENGTH_BYTES = 4;

/** Flag in the length prefix of a deflated header. */
const DEFLATED_BIT = 0x8000_0000;

/** Maximum length of a header that is not deflated, in bytes. */
const MAX_PLAIN_HEADER_BYTES = 100;

/** Maximum length of a frame, in bytes. */
const MAX_FRAME_BYTES = 16 * 1_048_576;

/**
 * Encodes parts as a frame.
 *
 * @param parts - The parts.
 * @param services - Services of the relay request, in its order.
 * @returns The frame.
 */
export function encodeRelayFrame(parts: RelayedParts, services: ReadonlyArray<string>): Buffer {
  const { records } = parts;
  const plain = Buffer.from(JSON.stringify(frameHeader(parts, services)));
  const isDeflated = plain.length > MAX_PLAIN_HEADER_BYTES;
  const header = isDeflated ? deflateRawSync(plain) : plain;
  const lengths = Buffer.alloc(2 * LENGTH_BYTES);
  lengths.writeUInt32BE(isDeflated ? header.length + DEFLATED_BIT : header.length, 0);
  lengths.writeUInt32BE(records.length, LENGTH_BYTES);
  return Buffer.concat([lengths, header, records]);
}

function frameHeader(
  { signatures, failed, queueMs = 0 }: RelayedParts,
  services: ReadonlyArray<string>,
): FrameHeader {
  const indexOf = (service: string): number => services.indexOf(service);
  const signed = [...signatures].flatMap(([service, signature]) => [indexOf(service), signature]);
  const lists = REASONS.map((reason) => {
    return [...failed]
      .filter(([, failure]) => failure === reason)
      .map(([service]) => indexOf(service));
  });
  const used = lists.slice(0, lists.findLastIndex((list) => list.length > 0) + 1);
  if (used.length > 0) {
    return [signed, queueMs, ...used];
  }
  return queueMs > 0 ? [signed, queueMs] : [signed];
}

/** Limits the size of an inflated header. */
const INFLATE_LIMIT = { maxOutputLength: MAX_FRAME_BYTES } as const;

/** Incremental decoder of frames. */
export class RelayFrameReader {
  readonly #services: ReadonlyArray<string>;
  #buffer: Buffer = Buffer.alloc(0);

  /**
   * @param services - Services of the relay request, in its order.
   */
  constructor(services: ReadonlyArray<string>) {
    this.#services = services;
  }

  /**
   * Decodes the frames completed by a chunk.
   *
   * @param chunk - The received bytes.
   * @returns The parts of all completed frames.
   * @throws If the bytes are not a valid frame.
   */
  read(chunk: Buffer): ReadonlyArray<RelayedParts> {
    this.#buffer = Buffer.concat([this.#buffer, chunk]);
    const parts: Array<RelayedParts> = [];
    for (;;) {
      const next = this.#next();
      if (next === undefined) {
        return parts;
      }
      parts.push(next);
    }
  }

  #next(): RelayedParts | undefined {
    const start = 2 * LENGTH_BYTES;
    if (this.#buffer.length < start) {
      return undefined;
    }
    const headerField = this.#buffer.readUInt32BE(0);
    const isDeflated = headerField >= DEFLATED_BIT;
    const headerBytes = isDeflated ? headerField - DEFLATED_BIT : headerField;
    const recordBytes = this.#buffer.readUInt32BE(LENGTH_BYTES);
    const end = start + headerBytes + recordBytes;
    if (end > MAX_FRAME_BYTES) {
      throw new Error(`Cannot read a frame of ${end} bytes: it exceeds the maximum length`);
    }
    if (this.#buffer.length < end) {
      return undefined;
    }
    const header = this.#buffer.subarray(start, start + headerBytes);
    const plain = isDeflated ? inflateRawSync(header, INFLATE_LIMIT) : header;
    const records = this.#buffer.subarray(start + headerBytes, end);
    this.#buffer = this.#buffer.subarray(end);
    return this.#decode(JSON.parse(plain.toString("utf8")) as FrameHeader, records);
  }

  #decode([signed, queueMs = 0, ...lists]: FrameHeader, records: Buffer): RelayedParts {
    const signatures = new Map<string, string>();
    for (let index = 0; index + 1 < signed.length; index += 2) {
      signatures.set(this.#serviceAt(signed[index]), String(signed[index + 1]));
    }
    const failed = new Map<string, FailedPart>();
    for (const [index, reason] of REASONS.entries()) {
      for (const serviceIndex of lists[index] ?? []) {
        failed.set(this.#serviceAt(serviceIndex), reason);
      }
    }
    return { signatures, records, failed, queueMs };
  }

  #serviceAt(index: number | string | undefined): string {
    const service = this.#services[Number(index)];
    if (service === undefined) {
      throw new Error(`Cannot read a frame: the relay request has no service ${index}`);
    }
    return service;
  }
}
