/**
 * A timer that runs often while there is something to look after, and seldom else. Most boxes of a large
 * fleet stand by: each wake-up of theirs costs processor time and brings nothing.
 *
 * @module
 */

/** How the timer runs. */
export interface AdaptiveTimerOptions {
  /** Time between two runs while there is something to look after, in milliseconds. */
  readonly busyIntervalMs: number;
  /** Time between two runs else, in milliseconds. */
  readonly idleIntervalMs: number;
  /** Tells after each run whether there is still something to look after. */
  readonly isBusy: () => boolean;
  readonly run: () => void;
}

/** A timer whose pace follows what there is to do. */
export class AdaptiveTimer {
  readonly #options: AdaptiveTimerOptions;
  #timer: NodeJS.Timeout | undefined;
  #isSlow = false;

  /**
   * @param options - How the timer runs.
   */
  constructor(options: AdaptiveTimerOptions) {
    this.#options = options;
  }

  /** Begins at the quick pace. */
  start(): void {
    this.#wait(this.#options.busyIntervalMs);
  }

  /** Says that there is something to look after, so that the next run is not at the slow pace. */
  wake(): void {
    if (this.#isSlow) {
      clearTimeout(this.#timer);
      this.#wait(this.#options.busyIntervalMs);
    }
  }

  /** Ends the timer. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#isSlow = false;
  }

  #wait(delayMs: number): void {
    const { busyIntervalMs: busyMs, idleIntervalMs: idleMs, isBusy, run } = this.#options;
    this.#isSlow = delayMs !== busyMs;
    this.#timer = setTimeout(() => {
      run();
      this.#wait(isBusy() ? busyMs : idleMs);
    }, delayMs);
  }
}
