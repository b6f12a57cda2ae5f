/**
 * A clock that goes on over a suspension of the box.
 *
 * The steady clock of a process stands still while its box is suspended: ages of configurations, leafs,
 * members and budgets come out too young by that time. The time of day goes on, but may also be stepped;
 * only the clock since boot tells the two apart. It costs system calls, so it is read where the time of
 * day runs ahead, and once a second to see whether it can be relied on at all.
 *
 * @module
 */

/** How far the time of day must run ahead to ask for the reason, in milliseconds; well above its drift. */
const JUMP_MS = 250;

/** Time between two looks at the clock since boot, in milliseconds. */
const LOOK_EVERY_MS = 1_000;

/**
 * How far the clock since boot may be off the steady one between two looks, in milliseconds: it is told in
 * hundredths of a second, and a busy process reads the two some time apart.
 */
const TOLERANCE_MS = 60;

/**
 * Looks in a row at which it must have agreed to be relied on: a clock that runs by other rules may agree
 * a few times by chance, and believed it would move all deadlines with each step of the time of day.
 */
const LEAST_AGREEMENTS = 10;

/** What the clock reads; each in milliseconds. */
export interface ClockSources {
  /** Stands still during a suspension; never stepped. */
  readonly monotonicMs: () => number;
  /** Time of day; goes on during a suspension, may be stepped. */
  readonly epochMs: () => number;
  /** Time since boot; goes on during a suspension, never stepped. Some platforms do not keep it. */
  readonly bootMs: () => number;
}

/** A forward jump of the time of day. */
export interface ClockJump {
  readonly jumpMs: number;
  /**
   * Time for which the box was suspended; 0 where the time of day was stepped, nothing where it cannot be
   * told.
   */
  readonly suspendedMs: number | undefined;
}

/** What the sources said together. */
interface Reading {
  readonly steadyMs: number;
  readonly bootMs: number;
}

/** The clock. */
export class SuspendAwareClock {
  readonly #sources: ClockSources;
  #onJump: (jump: ClockJump) => void = () => undefined;
  /** Time spent suspended so far. */
  #suspendedMs = 0;
  /** By how much the time of day was ahead of the steady clock when last read. */
  #aheadMs: number;
  #look: Reading;
  #agreements = 0;

  /**
   * @param sources - What the clock reads.
   */
  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#aheadMs = sources.epochMs() - sources.monotonicMs();
    this.#look = this.#read();
  }

  /**
   * Sets who is told of forward jumps of the time of day.
   *
   * @param onJump - Told of each as soon as the clock is read after it.
   */
  setJumpListener(onJump: (jump: ClockJump) => void): void {
    this.#onJump = onJump;
  }

  /**
   * Tells the moment.
   *
   * @returns Milliseconds since the process started, suspensions included.
   */
  nowMs(): number {
    const steadyMs = this.#sources.monotonicMs();
    const aheadMs = this.#sources.epochMs() - steadyMs;
    const jumpMs = aheadMs - this.#aheadMs;
    this.#aheadMs = aheadMs;
    if (jumpMs > JUMP_MS) {
      this.#explainJump(jumpMs);
    }
    return steadyMs + this.#suspendedMs;
  }

  /** Looks now and then whether the clock since boot goes with the steady one. */
  checkBootClock(): void {
    const before = this.#look;
    if (this.#sources.monotonicMs() - before.steadyMs < LOOK_EVERY_MS) {
      return;
    }
    // First, so that a suspension is not taken for a clock that disagrees.
    this.nowMs();
    if (this.#look === before) {
      const missingMs = this.#missingSinceLook();
      this.#agreements = Math.abs(missingMs) < TOLERANCE_MS ? this.#agreements + 1 : 0;
    }
  }

  #explainJump(jumpMs: number): void {
    if (this.#agreements < LEAST_AGREEMENTS) {
      this.#onJump({ jumpMs, suspendedMs: undefined });
      return;
    }
    const missingMs = this.#missingSinceLook();
    const suspendedMs = missingMs > TOLERANCE_MS ? missingMs : 0;
    this.#suspendedMs += suspendedMs;
    this.#onJump({ jumpMs, suspendedMs });
  }

  /** Time since the last look that the steady clock has not counted. */
  #missingSinceLook(): number {
    const before = this.#look;
    this.#look = this.#read();
    return this.#look.bootMs - before.bootMs - (this.#look.steadyMs - before.steadyMs);
  }

  #read(): Reading {
    return { steadyMs: this.#sources.monotonicMs(), bootMs: this.#sources.bootMs() };
  }
}
