/**
 * The size of the fleet as this box knows it, from the store or from other boxes.
 *
 * @module
 */
import type { FleetSize } from "../model/mod.js";

/** The newest known size of the fleet. */
export class KnownFleetSize {
  readonly #onChange: () => void;
  #current: FleetSize | undefined;

  /**
   * @param onChange - Called after each change.
   */
  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  /** The size; `undefined` while it is unknown. */
  get current(): FleetSize | undefined {
    return this.#current;
  }

  /**
   * Applies a size if it is newer.
   *
   * @param size - Size that the store or another box reports.
   * @returns Whether it was newer.
   */
  merge(size: FleetSize): boolean {
    const { generation, totalWeight } = this.#current ?? { generation: 0, totalWeight: 0 };
    const isNewer =
      size.generation > generation ||
      (size.generation === generation && size.totalWeight > totalWeight);
    if (isNewer) {
      this.#current = size;
      this.#onChange();
    }
    return isNewer;
  }
}
