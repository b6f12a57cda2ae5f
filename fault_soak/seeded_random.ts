/**
 * Random numbers that follow from a seed.
 *
 * @module
 */
import prand from "pure-rand";

/** A sequence of random numbers. */
export class SeededRandom {
  readonly #generator: prand.RandomGenerator;

  /**
   * @param seed - Seed of the sequence.
   */
  constructor(seed: number) {
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /**
   * Returns a whole number.
   *
   * @param min - Least number.
   * @param max - Greatest number.
   */
  int(min: number, max: number): number {
    return prand.unsafeUniformIntDistribution(min, max, this.#generator);
  }

  /**
   * Returns one of several values.
   *
   * @param values - At least one value; one that is listed twice is returned twice as often.
   */
  pick<T>(values: ReadonlyArray<T>): T {
    return values[this.int(0, values.length - 1)] as T;
  }
}
