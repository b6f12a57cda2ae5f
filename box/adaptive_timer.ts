/**
 * A periodic timer with a short interval while there is work and a long one otherwise, so that
 * standby boxes rarely wake up.
 *
 * @module
 */

/** Options of {@link AdaptiveTimer}. */
export interface AdaptiveTimerOptions {
  /** Interval while there is work, in milliseconds. */
  readonly busyIntervalMs: number;
  /** Interval otherwise, in milliseconds. */
  readonly idleIntervalMs: number;
  /** Returns whether there is still work; called after each run. */
  readonly isBusy: () => boolean;
  readonly run: () => void;
}

/** A periodic timer whose interval depends on whether there is work. */
export class AdaptiveTimer {
  readonly #options: AdaptiveTimerOptions;
  #timer: NodeJS.Timeout | undefined;
  #isIdle = false;

  /**
   * @param options - Intervals and callbacks.
   */
  constructor(options: AdaptiveTimerOptions) {
    this.#options = options;
  }

  /** Starts the timer with the short interval. */
  start(): void {
    this.#schedule(this.#options.busyIntervalMs);
  }

  /**
   * Switches to the short interval because there is work; no effect if that interval is already
   * active.
   */
  wake(): void {
    if (this.#isIdle) {
      clearTimeout(this.#timer);
      this.#schedule(this.#options.busyIntervalMs);
    }
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#isIdle = false;
  }

  #schedule(delayMs: number): void {
    const { busyIntervalMs, idleIntervalMs, isBusy, run } = this.#options;
    this.#isIdle = delayMs !== busyIntervalMs;
    this.#timer = setTimeout(() => {
      run();
      this.#schedule(isBusy() ? busyIntervalMs : idleIntervalMs);
    }, delayMs);
  }
}
