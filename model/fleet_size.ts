/**
 * The size of a fleet, as all boxes agree on it.
 *
 * @module
 */

/** Totals of the list of boxes that the store keeps. */
export interface FleetSize {
  /** Number of times that the list has been written; a higher one is newer. */
  readonly generation: number;
  readonly boxCount: number;
  /** Sum of the boxes' weights, by which they divide limits. */
  readonly totalWeight: number;
}
