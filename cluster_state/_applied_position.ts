/**
 * Store position up to which objects of one kind are applied, and the rules by which lists, changes
 * and updates of other boxes advance it.
 *
 * @module
 */
import { eraOf, type StorePosition } from "../model/mod.js";

/** How a list relates to what was applied before. */
export type ListOutcome =
  /** It is older than the applied state and must be ignored. */
  | "outdated"
  /** It contains all that was applied before, and later changes. */
  | "current"
  /** The store was restored from a backup since, and may lack what was applied before. */
  | "restored";

/** Position of the last applied state. It never decreases. */
export class AppliedPosition {
  #position: StorePosition = 0;

  /** The position; 0 before the first list or update. */
  get value(): StorePosition {
    return this.#position;
  }

  /**
   * Advances to the position of a list.
   *
   * @param position - Position of the list.
   * @returns How the list relates to what was applied before.
   */
  advanceToList(position: StorePosition): ListOutcome {
    const before = this.#position;
    if (position < before) {
      return "outdated";
    }
    this.#position = position;
    return eraOf(position) > eraOf(before) ? "restored" : "current";
  }

  /**
   * Advances to the position of changes, or of an update of another box.
   *
   * @param position - Position of the changes or of the update.
   * @returns Whether it is later than what was applied before.
   */
  advanceTo(position: StorePosition): boolean {
    const isLater = position > this.#position;
    if (isLater) {
      this.#position = position;
    }
    return isLater;
  }
}
