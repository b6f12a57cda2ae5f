/**
 * Numbers the requests of this box to other boxes, repeats the one that awaits an answer, and
 * measures round trips from the answers.
 *
 * @module
 */
import type { Member } from "../model/mod.js";
import { RoundTrips } from "./round_trips.js";

/** Time after which an unanswered request is repeated, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;

/** A request that has not been answered yet. */
interface PendingRequest {
  readonly number: number;
  readonly memberId: string;
  readonly sentAtMs: number;
  /** Whether it was sent again, so that its answer is no measure of the round trip. */
  readonly isRepeated: boolean;
}

/** Options of the tracker. */
export interface RequestTrackerOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Sends the request with a number to an address. */
  readonly send: (address: string, number: number) => void;
}

/** Requests of one box and their answers. At most one request at a time is tracked. */
export class RequestTracker {
  readonly #options: RequestTrackerOptions;
  readonly #roundTrips = new RoundTrips();
  #lastNumber = 0;
  #pending: PendingRequest | undefined;
  #retryTimer: NodeJS.Timeout | undefined;

  /**
   * @param options - Options of the tracker.
   */
  constructor(options: RequestTrackerOptions) {
    this.#options = options;
  }

  /**
   * Sends a request whose answer is not tracked.
   *
   * @param address - Address of the box.
   * @returns The number of the request.
   */
  send(address: string): number {
    this.#lastNumber += 1;
    this.#options.send(address, this.#lastNumber);
    return this.#lastNumber;
  }

  /**
   * Sends a request, and repeats it once if it is not answered in time.
   *
   * @param member - The box.
   */
  sendTracked({ address, memberId }: Member): void {
    const number = this.send(address);
    this.#retryTimer = setTimeout(() => {
      const pending = this.#pending?.number === number ? this.#pending : undefined;
      if (pending !== undefined) {
        this.#pending = { ...pending, isRepeated: true };
        this.#options.send(address, pending.number);
      }
    }, ANSWER_TIMEOUT_MS);
    this.#pending = { number, memberId, sentAtMs: this.#options.nowMs(), isRepeated: false };
  }

  /**
   * Gives up the tracked request if it has not been answered.
   *
   * @returns The id of the box that did not answer; `undefined` if no request is unanswered.
   */
  takeUnanswered(): string | undefined {
    const memberId = this.#pending?.memberId;
    this.#pending = undefined;
    return memberId;
  }

  /**
   * Records the number of a datagram that is not a request, which may be the answer to the tracked
   * request.
   *
   * @param number - The number.
   * @param sender - Sender of the datagram.
   */
  recordAnswer(number: number, sender: Member | undefined): void {
    if (number === this.#pending?.number) {
      this.#recordRoundTrip(this.#pending, sender);
      this.#pending = undefined;
      clearTimeout(this.#retryTimer);
    }
  }

  /**
   * Returns the round-trip time to a data centre.
   *
   * @param dataCentre - The data centre.
   * @returns The time in milliseconds, or `undefined` if no box there has answered yet.
   */
  roundTripMs(dataCentre: string): number | undefined {
    return this.#roundTrips.timeMs(dataCentre);
  }

  /** Stops repeating requests. */
  stop(): void {
    clearTimeout(this.#retryTimer);
  }

  #recordRoundTrip({ sentAtMs, isRepeated }: PendingRequest, sender: Member | undefined): void {
    if (sender !== undefined && !isRepeated) {
      const now = this.#options.nowMs();
      this.#roundTrips.record(sender.dataCentre, { elapsedMs: now - sentAtMs, nowMs: now });
    }
  }
}
