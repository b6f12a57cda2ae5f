/**
 * Counts what happened within the last while.
 *
 * @module
 */

/** Parts that the while is counted in; what is too old is forgotten a part at a time. */
const PARTS = 20;

/** A count over a window that moves on with time. */
export class SlidingWindowCounter {
  readonly #counts = new Array<number>(PARTS + 1).fill(0);
  readonly #partMs: number;
  #part = 0;
  #sum = 0;

  /**
   * @param windowMs - Length of the window, in milliseconds. What happened up to a twentieth of it
   *   earlier still counts.
   */
  constructor(windowMs: number) {
    this.#partMs = windowMs / PARTS;
  }

  /**
   * Counts one thing.
   *
   * @param nowMs - The present moment; never earlier than before.
   */
  add(nowMs: number): void {
    this.#moveTo(nowMs);
    const index = this.#part % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#sum += 1;
  }

  /**
   * Tells how many things happened within the window.
   *
   * @param nowMs - The present moment; never earlier than before.
   * @returns The count.
   */
  count(nowMs: number): number {
    this.#moveTo(nowMs);
    return this.#sum;
  }

  #moveTo(nowMs: number): void {
    const part = Math.floor(nowMs / this.#partMs);
    const steps = Math.min(part - this.#part, this.#counts.length);
    for (let step = 1; step <= steps; step++) {
      const index = (part - steps + step) % this.#counts.length;
      this.#sum -= this.#counts[index] ?? 0;
      this.#counts[index] = 0;
    }
    this.#part = Math.max(part, this.#part);
  }
}
