/**
 * Measures for how long a process was stalled: stopped, or without processor time.
 *
 * @module
 */

/** Number of intervals without a tick from which the process counts as stalled. */
const STALL_INTERVALS = 3;

/** Options of a {@linkcode StallMeter}. */
export interface StallMeterOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Interval at which `tick()` is called, in milliseconds. */
  readonly intervalMs: number;
}

/** Adds up the stalls of a process, which show as ticks of a timer that are far too late. */
export class StallMeter {
  readonly #nowMs: () => number;
  readonly #intervalMs: number;
  #lastTickAtMs: number;
  #totalMs = 0;

  /**
   * @param options - Clock, and interval of the ticks.
   */
  constructor({ nowMs, intervalMs }: StallMeterOptions) {
    this.#nowMs = nowMs;
    this.#intervalMs = intervalMs;
    this.#lastTickAtMs = nowMs();
  }

  /** Records a tick of the timer. */
  tick(): void {
    this.#totalMs += this.#currentStallMs();
    this.#lastTickAtMs = this.#nowMs();
  }

  /**
   * Returns the time for which the process has been stalled since its start.
   *
   * @returns Total duration of the stalls, in milliseconds.
   */
  totalMs(): number {
    return this.#totalMs + this.#currentStallMs();
  }

  #currentStallMs(): number {
    const sinceTickMs = this.#nowMs() - this.#lastTickAtMs;
    return sinceTickMs < STALL_INTERVALS * this.#intervalMs ? 0 : sinceTickMs - this.#intervalMs;
  }
}
