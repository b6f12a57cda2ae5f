/**
 * A daemon in virtual time: its core, its clock, and its pauses.
 *
 * @module
 */
import type { Step } from "../core/mod.js";
import type { Member } from "../model/mod.js";
import type { Schedule } from "../virtual_time/mod.js";

/** Options of a {@linkcode SoakNode}. */
export interface SoakNodeOptions<State, Event, Effect> {
  readonly self: Member;
  readonly state: State;
  readonly step: (state: State, event: Event) => Step<State, Effect>;
  readonly run: (effect: Effect) => void;
}

/** A simulated daemon. */
export class SoakNode<State, Event, Effect> {
  readonly self: Member;
  readonly #schedule: Schedule;
  readonly #options: SoakNodeOptions<State, Event, Effect>;
  readonly #clockOffsetMs: number;
  readonly #timers = new Map<string, number>();
  #timerCount = 0;
  #pausedUntilMs = 0;
  state: State;
  isAlive = true;

  /**
   * @param schedule - Virtual time.
   * @param options - Core of the daemon.
   */
  constructor(schedule: Schedule, options: SoakNodeOptions<State, Event, Effect>) {
    this.#schedule = schedule;
    this.#options = options;
    this.self = options.self;
    this.state = options.state;
    // Each daemon has its own clock offset: a time of one daemon is meaningless to another.
    this.#clockOffsetMs = schedule.int(0, 1_000_000);
  }

  /** Current time on the clock of the daemon, in milliseconds. */
  get nowMs(): number {
    return this.#schedule.nowMs + this.#clockOffsetMs;
  }

  /**
   * Delivers an event to the core, after the pause if the daemon is paused; a stopped daemon drops it.
   *
   * @param createEvent - Creates the event from the current time on the clock of the daemon.
   */
  deliver(createEvent: (nowMs: number) => Event): void {
    if (!this.isAlive) {
      return;
    }
    const waitMs = this.#pausedUntilMs - this.#schedule.nowMs;
    if (waitMs > 0) {
      this.#schedule.after(waitMs, () => this.deliver(createEvent));
      return;
    }
    const { state, effects } = this.#options.step(this.state, createEvent(this.nowMs));
    this.state = state;
    for (const effect of effects) {
      this.#options.run(effect);
    }
  }

  /**
   * Pauses the daemon, including its timers.
   *
   * @param durationMs - Duration, in milliseconds.
   */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#schedule.nowMs + durationMs;
  }

  /** Whether the daemon is paused. */
  get isPaused(): boolean {
    return this.#pausedUntilMs > this.#schedule.nowMs;
  }

  /**
   * Sets a timer; it replaces a timer with the same key.
   *
   * @param key - Key of the timer.
   * @param delayMs - Time until it fires, in milliseconds.
   * @param createEvent - Creates its event from the current time on the clock of the daemon.
   */
  setTimer(key: string, delayMs: number, createEvent: (nowMs: number) => Event): void {
    this.#timerCount += 1;
    const number = this.#timerCount;
    this.#timers.set(key, number);
    this.#schedule.after(delayMs, () => {
      if (this.#timers.get(key) === number) {
        this.#timers.delete(key);
        this.deliver(createEvent);
      }
    });
  }

  /**
   * Cancels a timer.
   *
   * @param key - Key of the timer.
   */
  clearTimer(key: string): void {
    this.#timers.delete(key);
  }
}

/**
 * Returns the key of a timer; timers of the same kind and id have the same key.
 *
 * @param timer - The timer.
 * @returns The key.
 */
export function timerKey(timer: { readonly kind: string; readonly id?: string }): string {
  return `${timer.kind} ${timer.id ?? ""}`;
}
