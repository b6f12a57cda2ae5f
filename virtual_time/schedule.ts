/**
 * Virtual time: things to do, in the order of their moments.
 *
 * @module
 */
import prand from "pure-rand";
import TinyQueue from "tinyqueue";

interface Item {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A schedule with its own clock and its own random numbers. */
export class Schedule {
  readonly #queue = new TinyQueue<Item>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  #random: prand.RandomGenerator;
  #order = 0;
  #nowMs = 0;
  #steps = 0;

  /**
   * @param seed - Seed of the random numbers; the same seed gives the same run.
   */
  constructor(seed: number) {
    this.#random = prand.xoroshiro128plus(seed);
  }

  /** The present moment. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Things done so far. */
  get steps(): number {
    return this.#steps;
  }

  /**
   * Plans something.
   *
   * @param delayMs - Time from now.
   * @param run - What to do.
   */
  after(delayMs: number, run: () => void): void {
    this.#order += 1;
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#queue.push({ atMs, order: this.#order, run });
  }

  /**
   * Does the next thing.
   *
   * @returns Whether there was one.
   */
  runNext(): boolean {
    const item = this.#queue.pop();
    if (item === undefined) {
      return false;
    }
    this.#nowMs = item.atMs;
    this.#steps += 1;
    item.run();
    return true;
  }

  /**
   * Draws a whole number.
   *
   * @param least - Smallest.
   * @param most - Largest.
   * @returns A number between them, both included.
   */
  int(least: number, most: number): number {
    const [value, next] = prand.uniformIntDistribution(least, most, this.#random);
    this.#random = next;
    return value;
  }

  /**
   * Draws whether something happens.
   *
   * @param share - How often, 0 to 1.
   * @returns Whether it does.
   */
  chance(share: number): boolean {
    return this.int(0, 999_999) < share * 1_000_000;
  }

  /**
   * Picks one of some things.
   *
   * @param items - At least one thing.
   * @returns One of them.
   */
  pick<T>(items: ReadonlyArray<T>): T {
    return items[this.int(0, items.length - 1)] as T;
  }
}
