/**
 * Measures by how much this process observes events late: its own delay, on a busy machine.
 *
 * @module
 */

import type { Disturbance } from "./disturbance.js";

/** Interval of the measurements, in milliseconds. */
const INTERVAL_MS = 10;

/** Delays below this are not kept, in milliseconds. */
const MIN_LAG_MS = 10;

interface LagSample {
  readonly atMs: number;
  readonly lagMs: number;
}

/** Delay with which this process counts as held up, in milliseconds. */
const HELD_UP_MS = 100;

/** Measures delays of this process's event loop until it is stopped. */
export class LagMeter {
  readonly #samples: Array<LagSample> = [];
  readonly #timer: NodeJS.Timeout;
  #dueAtMs = performance.now() + INTERVAL_MS;

  constructor() {
    this.#timer = setInterval(() => this.#measure(), INTERVAL_MS);
  }

  /**
   * Returns the longest delay in a period.
   *
   * @param fromMs - Start of the period, on this process's clock in milliseconds.
   * @param untilMs - End of the period.
   * @returns The delay, in milliseconds.
   */
  maxMs(fromMs: number, untilMs: number): number {
    const samples = this.#samples.filter(({ atMs, lagMs }) => {
      return atMs >= fromMs && atMs - lagMs <= untilMs;
    });
    return samples.reduce((maxMs, { lagMs }) => Math.max(maxMs, lagMs), 0);
  }

  /** Returns the periods in which this process, and so all links through it, were held up. */
  heldUp(): ReadonlyArray<Disturbance> {
    return this.#samples
      .filter(({ lagMs }) => lagMs >= HELD_UP_MS)
      .map(({ atMs, lagMs }) => ({ fromMs: atMs - lagMs, untilMs: atMs }));
  }

  /** Stops measuring. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #measure(): void {
    const atMs = performance.now();
    const lagMs = atMs - this.#dueAtMs;
    if (lagMs >= MIN_LAG_MS) {
      this.#samples.push({ atMs, lagMs });
    }
    this.#dueAtMs = atMs + INTERVAL_MS;
  }
}
