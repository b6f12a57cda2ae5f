/**
 * The update that boxes exchange about data centres that operators have evacuated.
 *
 * @module
 */

/** The set of evacuated data centres at a position of the store. */
export interface EvacuationUpdate {
  /** Store position up to which the sender has applied changes. */
  readonly position: number;
  /** All evacuated data centres. */
  readonly dataCentres: ReadonlyArray<string>;
}
