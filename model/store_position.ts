/**
 * Total order of changes in the store: by era, then by revision.
 *
 * A store that is restored from a backup reuses revision numbers, so the revision alone does not
 * order two changes. The era increases with each restore.
 *
 * @module
 */

/** Era and revision combined into one number; equal to the revision in era 0. */
export type StorePosition = number;

/** Number of revisions in an era; high enough never to be exceeded. */
const ERA_REVISIONS = 2 ** 40;

/** A revision and the era it belongs to. */
export interface EraRevision {
  readonly era: number;
  readonly revision: number;
}

/**
 * Combines an era and a revision into a position.
 *
 * @param eraRevision - Era and revision.
 * @returns The position.
 */
export function storePosition({ era, revision }: EraRevision): StorePosition {
  return era * ERA_REVISIONS + revision;
}

/**
 * Returns the era of a position.
 *
 * @param position - Position in the store.
 * @returns The era; 0 if the store reports none.
 */
export function eraOf(position: StorePosition): number {
  return Math.floor(position / ERA_REVISIONS);
}

/**
 * Returns the revision of a position, as numbered by the store.
 *
 * @param position - Position in the store.
 * @returns The revision.
 */
export function revisionOf(position: StorePosition): number {
  return position % ERA_REVISIONS;
}
