/**
 * A monotonic clock that includes time in which the box was suspended.
 *
 * The monotonic clock of a process stops during a suspension, so ages of configurations, leafs,
 * members and budgets would be too small. The time of day advances during a suspension but may also
 * be stepped; the time since boot distinguishes the two. Reading it takes system calls, so it is
 * read only when the time of day jumps forward, and once a second to check that it is reliable.
 *
 * @module
 */

/** Advance of the time of day over the monotonic clock that counts as a jump, in milliseconds. */
const JUMP_THRESHOLD_MS = 250;

/** Interval between checks of the time since boot, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Maximum difference between boot time and monotonic time over one interval that counts as
 * agreement, in milliseconds. The operating system reports boot time in hundredths of a second.
 */
const TOLERANCE_MS = 60;

/** Consecutive checks in which boot time must agree with monotonic time before it is relied on. */
const MIN_AGREEMENTS = 10;

/** Time sources of the clock, each in milliseconds. */
export interface ClockSources {
  /** Monotonic time; stops during a suspension and is never stepped. */
  readonly monotonicMs: () => number;
  /** Time of day; advances during a suspension and may be stepped. */
  readonly epochMs: () => number;
  /**
   * Time since boot; advances during a suspension and is never stepped. Some platforms do not
   * maintain it correctly.
   */
  readonly bootMs: () => number;
}

/** A forward jump of the time of day. */
export interface ClockJump {
  /** Size of the jump, in milliseconds. */
  readonly jumpMs: number;
  /**
   * Time in which the box was suspended, in milliseconds; 0 if the time of day was stepped,
   * `undefined` if the cause is unknown.
   */
  readonly suspendedMs: number | undefined;
}

/** Sources read at the same time. */
interface Reading {
  readonly monotonicMs: number;
  readonly bootMs: number;
}

/** Clock that detects suspensions of the box and includes them in its time. */
export class SuspendAwareClock {
  readonly #sources: ClockSources;
  #onJump: (jump: ClockJump) => void = () => undefined;
  /** Total time in which the box was suspended. */
  #suspendedMs = 0;
  /** Difference between the time of day and the monotonic clock at the last reading. */
  #epochOffsetMs: number;
  #lastCheck: Reading;
  #agreements = 0;

  /**
   * @param sources - Time sources.
   */
  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#epochOffsetMs = sources.epochMs() - sources.monotonicMs();
    this.#lastCheck = this.#read();
  }

  /**
   * Sets the listener for forward jumps of the time of day.
   *
   * @param onJump - Called with each jump when the clock is first read after it.
   */
  setJumpListener(onJump: (jump: ClockJump) => void): void {
    this.#onJump = onJump;
  }

  /**
   * Returns the current time.
   *
   * @returns Milliseconds since the process started, including suspensions.
   */
  nowMs(): number {
    const monotonicMs = this.#sources.monotonicMs();
    const epochOffsetMs = this.#sources.epochMs() - monotonicMs;
    const jumpMs = epochOffsetMs - this.#epochOffsetMs;
    this.#epochOffsetMs = epochOffsetMs;
    if (jumpMs > JUMP_THRESHOLD_MS) {
      this.#explainJump(jumpMs);
    }
    return monotonicMs + this.#suspendedMs;
  }

  /**
   * Checks that boot time advances with monotonic time; does nothing until the check interval has
   * passed.
   */
  checkBootClock(): void {
    const before = this.#lastCheck;
    if (this.#sources.monotonicMs() - before.monotonicMs < CHECK_INTERVAL_MS) {
      return;
    }
    // Handles a suspension first, which would otherwise count as a disagreement.
    this.nowMs();
    if (this.#lastCheck === before) {
      const missingMs = this.#missingSinceCheck();
      this.#agreements = Math.abs(missingMs) < TOLERANCE_MS ? this.#agreements + 1 : 0;
    }
  }

  #explainJump(jumpMs: number): void {
    if (this.#agreements < MIN_AGREEMENTS) {
      this.#onJump({ jumpMs, suspendedMs: undefined });
      return;
    }
    const missingMs = this.#missingSinceCheck();
    const suspendedMs = missingMs > TOLERANCE_MS ? missingMs : 0;
    this.#suspendedMs += suspendedMs;
    this.#onJump({ jumpMs, suspendedMs });
  }

  /** Time since the last check that the monotonic clock does not include. */
  #missingSinceCheck(): number {
    const before = this.#lastCheck;
    this.#lastCheck = this.#read();
    return (
      this.#lastCheck.bootMs - before.bootMs - (this.#lastCheck.monotonicMs - before.monotonicMs)
    );
  }

  #read(): Reading {
    return { monotonicMs: this.#sources.monotonicMs(), bootMs: this.#sources.bootMs() };
  }
}
