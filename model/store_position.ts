/**
 * The order of what the store tells: by era, then by revision.
 *
 * A store that comes back from a copy counts its revisions on from an earlier one and gives numbers out again, so that
 * a revision alone does not tell which of two pieces of news is the later one. Its era rises each time.
 *
 * @module
 */

/** Era and revision as one number that rises with both; the revision itself while the era is 0. */
export type StorePosition = number;

/** Revisions of one era: more than a store writes in a hundred years at 300 changes a second. */
const ERA_REVISIONS = 2 ** 40;

/** An era and a revision of it. */
export interface EraRevision {
  readonly era: number;
  readonly revision: number;
}

/**
 * Makes the position of a revision.
 *
 * @param place - The era and the revision.
 * @returns The position.
 */
export function storePosition({ era, revision }: EraRevision): StorePosition {
  return era * ERA_REVISIONS + revision;
}

/**
 * Tells the era of a position.
 *
 * @param position - The position.
 * @returns The era; 0 where the store tells none.
 */
export function eraOf(position: StorePosition): number {
  return Math.floor(position / ERA_REVISIONS);
}

/**
 * Tells the revision of a position, by which the store itself counts.
 *
 * @param position - The position.
 * @returns The revision.
 */
export function revisionOf(position: StorePosition): number {
  return position % ERA_REVISIONS;
}
