/**
 * Remembers at which revision of the store each leaf's entry last changed or went, so that a box that
 * is behind is handed only what it lacks.
 *
 * @module
 */

/** Removals that are remembered; who is further behind is handed all leafs. */
const MOST_REMOVALS = 500;

/** What has changed among the leafs' entries since a revision. */
export interface LeafChangesSince {
  readonly changed: ReadonlyArray<string>;
  readonly removed: ReadonlyArray<string>;
}

/** Changes up to a revision. */
export interface LeafChangeBatch {
  readonly changed: Iterable<string>;
  readonly removed: Iterable<string>;
  readonly revision: number;
}

/** The news of a box about leafs. */
export class LeafChangeLog {
  readonly #changedAt = new Map<string, number>();
  readonly #removedAt = new Map<string, number>();
  #completeSince = Number.POSITIVE_INFINITY;

  /**
   * Begins anew from a whole list: what came before its revision is not known.
   *
   * @param revision - Revision of the list.
   */
  reset(revision: number): void {
    this.#changedAt.clear();
    this.#removedAt.clear();
    this.#completeSince = revision;
  }

  /**
   * Notes changes.
   *
   * @param item - Ids of the leafs whose entries changed or went, and the revision reached.
   */
  record({ changed, removed, revision }: LeafChangeBatch): void {
    for (const leafId of changed) {
      this.#changedAt.set(leafId, revision);
      this.#removedAt.delete(leafId);
    }
    for (const leafId of removed) {
      this.#changedAt.delete(leafId);
      // Anew, so that the map is in the order of the revisions.
      this.#removedAt.delete(leafId);
      this.#removedAt.set(leafId, revision);
    }
    this.#forgetOld();
  }

  /**
   * Tells what has changed since a revision.
   *
   * @param revision - Revision that is known.
   * @returns The changes, or nothing where they are not all remembered.
   */
  since(revision: number): LeafChangesSince | undefined {
    return revision < this.#completeSince
      ? undefined
      : { changed: after(this.#changedAt, revision), removed: after(this.#removedAt, revision) };
  }

  #forgetOld(): void {
    for (const [leafId, revision] of this.#removedAt) {
      if (this.#removedAt.size <= MOST_REMOVALS) {
        return;
      }
      this.#removedAt.delete(leafId);
      this.#completeSince = Math.max(this.#completeSince, revision);
    }
  }
}

function after(revisions: ReadonlyMap<string, number>, revision: number): ReadonlyArray<string> {
  return [...revisions].filter(([, atRevision]) => atRevision > revision).map(([leafId]) => leafId);
}
