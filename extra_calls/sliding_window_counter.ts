/**
 * Counts events within a sliding window.
 *
 * @module
 */

/** Number of slots of the window. Old events expire one slot at a time. */
const SLOTS = 20;

/** Counts the events of a sliding window. */
export class SlidingWindowCounter {
  readonly #counts = new Array<number>(SLOTS + 1).fill(0);
  readonly #slotMs: number;
  #slot = 0;
  #sum = 0;

  /**
   * @param windowMs - Length of the window, in milliseconds. Events up to one slot older still
   *   count.
   */
  constructor(windowMs: number) {
    this.#slotMs = windowMs / SLOTS;
  }

  /**
   * Counts one event.
   *
   * @param nowMs - Current time, in milliseconds; must not decrease.
   */
  add(nowMs: number): void {
    this.#moveTo(nowMs);
    const index = this.#slot % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#sum += 1;
  }

  /**
   * Returns the number of events within the window.
   *
   * @param nowMs - Current time, in milliseconds; must not decrease.
   * @returns The count.
   */
  count(nowMs: number): number {
    this.#moveTo(nowMs);
    return this.#sum;
  }

  #moveTo(nowMs: number): void {
    const slot = Math.floor(nowMs / this.#slotMs);
    const steps = Math.min(slot - this.#slot, this.#counts.length);
    for (let step = 1; step <= steps; step++) {
      const index = (slot - steps + step) % this.#counts.length;
      this.#sum -= this.#counts[index] ?? 0;
      this.#counts[index] = 0;
    }
    this.#slot = Math.max(slot, this.#slot);
  }
}
