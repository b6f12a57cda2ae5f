/**
 * Discrete-event schedule: runs events in the order of their virtual times.
 *
 * @module
 */
import prand from "pure-rand";
import TinyQueue from "tinyqueue";

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Event schedule with a virtual clock and a seeded random number generator. */
export class Schedule {
  readonly #queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );
  #random: prand.RandomGenerator;
  #order = 0;
  #nowMs = 0;
  #steps = 0;

  /**
   * @param seed - Seed of the random number generator; the same seed gives the same run.
   */
  constructor(seed: number) {
    this.#random = prand.xoroshiro128plus(seed);
  }

  /** Current virtual time, in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Number of events run so far. */
  get steps(): number {
    return this.#steps;
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - Delay from the current virtual time, in milliseconds; a negative delay counts as 0.
   * @param run - Callback that runs the event.
   */
  after(delayMs: number, run: () => void): void {
    this.#order += 1;
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#queue.push({ atMs, order: this.#order, run });
  }

  /**
   * Advances the clock to the next event and runs it.
   *
   * @returns Whether there was an event to run.
   */
  runNext(): boolean {
    const event = this.#queue.pop();
    if (event === undefined) {
      return false;
    }
    this.#nowMs = event.atMs;
    this.#steps += 1;
    event.run();
    return true;
  }

  /**
   * Returns a random integer.
   *
   * @param min - Lower bound, inclusive.
   * @param max - Upper bound, inclusive.
   * @returns A uniformly distributed integer.
   */
  int(min: number, max: number): number {
    const [value, next] = prand.uniformIntDistribution(min, max, this.#random);
    this.#random = next;
    return value;
  }

  /**
   * Returns true with the given probability.
   *
   * @param probability - Probability, 0 to 1.
   * @returns Whether the random draw succeeded.
   */
  chance(probability: number): boolean {
    return this.int(0, 999_999) < probability * 1_000_000;
  }

  /**
   * Picks a random element.
   *
   * @param items - Elements; must not be empty.
   * @returns One of the elements.
   */
  pick<T>(items: ReadonlyArray<T>): T {
    return items[this.int(0, items.length - 1)] as T;
  }
}
