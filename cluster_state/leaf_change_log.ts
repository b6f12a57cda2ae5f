/**
 * Log of the store revisions at which leafs' entries changed or were removed, from which a box
 * sends a peer only the changes that it lacks.
 *
 * @module
 */

/** Maximum number of removals in the log; a peer that is further behind receives all leafs. */
const MAX_REMOVALS = 500;

/** Ids of the leafs whose entries changed or were removed after a revision. */
export interface LeafChangesSince {
  readonly changed: ReadonlyArray<string>;
  readonly removed: ReadonlyArray<string>;
}

/** Ids of the leafs whose entries changed or were removed, up to a revision. */
export interface LeafChangeBatch {
  readonly changed: Iterable<string>;
  readonly removed: Iterable<string>;
  readonly revision: number;
}

/** Log of changes to leafs' entries. */
export class LeafChangeLog {
  readonly #changeRevisions = new Map<string, number>();
  readonly #removalRevisions = new Map<string, number>();
  /** Revision from which the log is complete. */
  #firstRevision = Number.POSITIVE_INFINITY;

  /**
   * Clears the log and restarts it at a complete list.
   *
   * @param revision - Revision of the list.
   */
  reset(revision: number): void {
    this.#changeRevisions.clear();
    this.#removalRevisions.clear();
    this.#firstRevision = revision;
  }

  /**
   * Records changes.
   *
   * @param batch - Changes and the revision that they lead to.
   */
  record({ changed, removed, revision }: LeafChangeBatch): void {
    for (const leafId of changed) {
      this.#changeRevisions.set(leafId, revision);
      this.#removalRevisions.delete(leafId);
    }
    for (const leafId of removed) {
      this.#changeRevisions.delete(leafId);
      // Deletes the key first to keep the map in the order of the revisions.
      this.#removalRevisions.delete(leafId);
      this.#removalRevisions.set(leafId, revision);
    }
    this.#trim();
  }

  /**
   * Returns the changes after a revision.
   *
   * @param revision - Last known revision.
   * @returns The changes, or `undefined` if the log does not reach back to the revision.
   */
  since(revision: number): LeafChangesSince | undefined {
    return revision < this.#firstRevision
      ? undefined
      : {
          changed: idsAfter(this.#changeRevisions, revision),
          removed: idsAfter(this.#removalRevisions, revision),
        };
  }

  #trim(): void {
    for (const [leafId, revision] of this.#removalRevisions) {
      if (this.#removalRevisions.size <= MAX_REMOVALS) {
        return;
      }
      this.#removalRevisions.delete(leafId);
      this.#firstRevision = Math.max(this.#firstRevision, revision);
    }
  }
}

function idsAfter(revisions: ReadonlyMap<string, number>, revision: number): ReadonlyArray<string> {
  return [...revisions]
    .filter(([, entryRevision]) => entryRevision > revision)
    .map(([leafId]) => leafId);
}
