/**
 * Estimates how long relay requests were under way: in the sender's queue, while a connection was
 * opened, in the network, and unread while this process was stalled.
 *
 * The clocks of two boxes are unrelated, but the difference between the time of receipt and the
 * time of sending is constant, apart from the delay. The smallest recent difference is the
 * reference.
 *
 * @module
 */
import { addMinimumSample, type RecentMinimum, smallestOf } from "../latency/mod.js";

/** Name of the header that states when a relay request was sent. */
export const SENT_HEADER = "sent";

/** Time after which a reference is replaced, in milliseconds; a sender's clock may have jumped. */
const REFERENCE_MS = 30_000;

/** Maximum number of senders, above which the one that was first seen earliest is forgotten. */
const MAX_SENDERS = 4_096;

/** When a request was sent. */
export interface SentTime {
  /** Identifies the clock: a process of a box. */
  readonly clockId: string;
  /** Time by that clock, in milliseconds. */
  readonly sentAtMs: number;
}

/**
 * Encodes the value of the header.
 *
 * @param sent - When the request was sent.
 * @returns The value.
 */
export function encodeSentTime({ clockId, sentAtMs }: SentTime): string {
  return `${clockId} ${Math.round(sentAtMs)}`;
}

/**
 * Decodes the value of the header.
 *
 * @param value - The value; `undefined` if the request has none.
 * @returns When the request was sent, or `undefined` if that is unknown.
 */
export function decodeSentTime(value: string | undefined): SentTime | undefined {
  const [clockId = "", time = ""] = value?.split(" ") ?? [];
  const sentAtMs = Number(time);
  return clockId === "" || time === "" || !Number.isFinite(sentAtMs)
    ? undefined
    : { clockId, sentAtMs };
}

/** Delays of the relay requests that one box receives. */
export class TransitDelays {
  /** The smallest differences of each sender's requests, in milliseconds. */
  readonly #references = new Map<string, RecentMinimum>();

  /**
   * Records the receipt of a request.
   *
   * @param sent - When it was sent; `undefined` if unknown.
   * @param receivedAtMs - Current time, in milliseconds.
   * @returns Time for which it was under way beyond that of the fastest recent request of the same
   *   sender, in milliseconds; 0 if unknown.
   */
  record(sent: SentTime | undefined, receivedAtMs: number): number {
    if (sent === undefined) {
      return 0;
    }
    const differenceMs = receivedAtMs - sent.sentAtMs;
    const reference = addMinimumSample(this.#references.get(sent.clockId), {
      value: differenceMs,
      nowMs: receivedAtMs,
      periodMs: REFERENCE_MS,
    });
    this.#references.set(sent.clockId, reference);
    this.#evictExcess();
    return differenceMs - smallestOf(reference);
  }

  #evictExcess(): void {
    const [oldest] = this.#references.keys();
    if (this.#references.size > MAX_SENDERS && oldest !== undefined) {
      this.#references.delete(oldest);
    }
  }
}
