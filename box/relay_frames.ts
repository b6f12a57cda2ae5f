/**
 * How boxes hand merged parts to one another: frames of a JSON head and the records' bytes, each
 * behind its length.
 *
 * @module
 */
import type { RelayedParts } from "../request/mod.js";

/** What a box asks another for. */
export interface RelayOrder {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Headers that are passed on to leafs, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  /** Services to ask one leaf each of. */
  readonly services: ReadonlyArray<string>;
  readonly topRecords: number;
  /** Longest time to wait before what has come in is handed over, in milliseconds. */
  readonly patienceMs: number;
  /** Time left, in milliseconds. */
  readonly leftMs: number;
}

/** What stands before the records. */
interface FrameHead {
  /** Each service with its signature. */
  readonly signatures: ReadonlyArray<readonly [string, string]>;
  readonly declined: ReadonlyArray<string>;
}

const LENGTH_BYTES = 4;

/** Longest frame taken, in bytes; far above what a query's parts come to. */
const MAX_FRAME_BYTES = 16 * 1_048_576;

/**
 * Writes parts as a frame.
 *
 * @param parts - The parts.
 * @returns The frame.
 */
export function encodeRelayed({ signatures, records, declined }: RelayedParts): Buffer {
  const parts: FrameHead = { signatures: [...signatures], declined };
  const head = Buffer.from(JSON.stringify(parts));
  const lengths = Buffer.alloc(2 * LENGTH_BYTES);
  lengths.writeUInt32BE(head.length, 0);
  lengths.writeUInt32BE(records.length, LENGTH_BYTES);
  return Buffer.concat([lengths, head, records]);
}

/** Puts frames together again from bytes as they come in. */
export class RelayedReader {
  #waiting: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes.
   *
   * @param chunk - The bytes.
   * @returns The parts of all frames that are whole now.
   * @throws Where the bytes are no frame.
   */
  read(chunk: Buffer): ReadonlyArray<RelayedParts> {
    this.#waiting = Buffer.concat([this.#waiting, chunk]);
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
    if (this.#waiting.length < start) {
      return undefined;
    }
    const headBytes = this.#waiting.readUInt32BE(0);
    const recordBytes = this.#waiting.readUInt32BE(LENGTH_BYTES);
    const end = start + headBytes + recordBytes;
    if (end > MAX_FRAME_BYTES) {
      throw new Error(`Cannot read a frame of ${end} bytes: it is too long`);
    }
    if (this.#waiting.length < end) {
      return undefined;
    }
    const head = this.#waiting.subarray(start, start + headBytes).toString("utf8");
    const records = this.#waiting.subarray(start + headBytes, end);
    this.#waiting = this.#waiting.subarray(end);
    const { signatures, declined } = JSON.parse(head) as FrameHead;
    return { signatures: new Map(signatures), records, declined };
  }
}
