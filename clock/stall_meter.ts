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
  #lastStallEndedAtMs = Number.NEGATIVE_INFINITY;

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
    const stallMs = this.#currentStallMs();
    this.#totalMs += stallMs;
    this.#lastTickAtMs = this.#nowMs();
    if (stallMs > 0) {
      this.#lastStallEndedAtMs = this.#lastTickAtMs;
    }
  }

  /**
   * Returns the time for which the process has been stalled since its start.
   *
   * @returns Total duration of the stalls, in milliseconds.
   */
  totalMs(): number {
    return this.#totalMs + this.#currentStallMs();
  }

  /**
   * Returns the time since the end of the last stall.
   *
   * @returns Time in milliseconds: 0 while the first tick after a stall is overdue, infinite if there
   *   was no stall.
   */
  sinceStallMs(): number {
    return this.#currentStallMs() > 0 ? 0 : this.#nowMs() - this.#lastStallEndedAtMs;
  }

  #currentStallMs(): number {
    const sinceTickMs = this.#nowMs() - this.#lastTickAtMs;
    return sinceTickMs < STALL_INTERVALS * this.#intervalMs ? 0 : sinceTickMs - this.#intervalMs;
  }
}
