/**
 * What boxes tell one another of data centres that operators have emptied.
 *
 * @module
 */

/** The data centres that are emptied, as of a position of the store. */
export interface EvacuationUpdate {
  /** Position of the store up to which the sender knows them. */
  readonly position: number;
  /** All data centres that are emptied. */
  readonly dataCentres: ReadonlyArray<string>;
}
