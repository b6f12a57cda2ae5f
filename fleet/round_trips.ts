/**
 * Round-trip times to the other data centres, from the datagrams that boxes answer.
 *
 * @module
 */
import { addMinimumSample, type RecentMinimum, smallestOf } from "../latency/mod.js";

/** Shortest time for which a sample counts, in milliseconds; network paths change over time. */
const PERIOD_MS = 30_000;

/** Round-trip times from this box, by data centre. */
export class RoundTrips {
  readonly #minimums = new Map<string, RecentMinimum>();

  /**
   * Records a sample. Answers to repeated requests must be left out, as it is unknown to which of
   * the requests they belong (Karn's algorithm).
   *
   * @param dataCentre - Data centre of the box that answered.
   * @param sample - Time from the request to its answer, and the current time, in milliseconds.
   */
  record(
    dataCentre: string,
    { elapsedMs, nowMs }: { readonly elapsedMs: number; readonly nowMs: number },
  ): void {
    const sample = { value: elapsedMs, nowMs, periodMs: PERIOD_MS };
    this.#minimums.set(dataCentre, addMinimumSample(this.#minimums.get(dataCentre), sample));
  }

  /**
   * Returns the time to a data centre and back. Queues and stalls only lengthen it, so the smallest
   * recent sample is the closest to the network's own time.
   *
   * @param dataCentre - The data centre.
   * @returns The time in milliseconds, or `undefined` if no box there has answered yet.
   */
  timeMs(dataCentre: string): number | undefined {
    const minimum = this.#minimums.get(dataCentre);
    return minimum === undefined ? undefined : smallestOf(minimum);
  }
}
