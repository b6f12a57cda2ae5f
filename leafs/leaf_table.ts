/**
 * The leafs that a box believes in, by id and by service.
 *
 * @module
 */
import { eraOf } from "../model/mod.js";
import { isSameIncarnation, type Leaf } from "./leaf.js";

/** Leafs known, arranged for look-ups. */
export interface LeafTable {
  readonly byId: ReadonlyMap<string, Leaf>;
  readonly byService: ReadonlyMap<string, ReadonlyArray<Leaf>>;
  /** Leafs whose entry is gone but may come back, and the moment at which they are dropped. */
  readonly expiresAtMs: ReadonlyMap<string, number>;
  /** The latest leafs whose entry went, as last known: an older store may tell of them again. */
  readonly recentlyRemoved?: ReadonlyMap<string, Leaf>;
}

/** Leafs that are remembered after their end: some minutes' worth of a rolling release. */
const MOST_ENDED = 500;

/** A table without leafs. */
export const EMPTY_LEAF_TABLE: LeafTable = {
  byId: new Map(),
  byService: new Map(),
  expiresAtMs: new Map(),
};

/** What has changed among the leafs' entries. */
export interface LeafChanges {
  /** Entries that are new or differ from before; one older than what is known is passed over. */
  readonly changed: ReadonlyArray<Leaf>;
  /** Ids of entries that are gone. */
  readonly removed: ReadonlyArray<string>;
  /** Ids of entries that are there but cannot be read: such a leaf is dropped without a time to come back. */
  readonly unreadable?: ReadonlyArray<string>;
}

/** How long entries that are gone are still believed in. */
export interface RemovalOptions {
  readonly nowMs: number;
  /** Time that an entry has to come back, in milliseconds; 0 drops it at once. */
  readonly graceMs: number;
}

/**
 * Takes in changes of entries.
 *
 * @param table - Leafs known so far.
 * @param changes - What has changed.
 * @param options - The present moment, and how long a missing entry may come back.
 * @returns The table after that.
 */
export function applyLeafChanges(
  table: LeafTable,
  { changed, removed, unreadable = [] }: LeafChanges,
  { nowMs, graceMs }: RemovalOptions,
): LeafTable {
  const byId = new Map(table.byId);
  const dropAtMs = new Map(table.expiresAtMs);
  const ended = new Map(table.recentlyRemoved);
  for (const leaf of changed) {
    const known = byId.get(leaf.leafId);
    if (isCurrent(leaf, known ?? ended.get(leaf.leafId), { hasEnded: known === undefined })) {
      byId.set(leaf.leafId, leaf);
      dropAtMs.delete(leaf.leafId);
      ended.delete(leaf.leafId);
    }
  }
  for (const leafId of removed) {
    if (graceMs > 0 && byId.get(leafId)?.draining === false) {
      dropAtMs.set(leafId, Math.min(dropAtMs.get(leafId) ?? Infinity, nowMs + graceMs));
    } else {
      noteEnded(ended, byId.get(leafId));
      byId.delete(leafId);
      dropAtMs.delete(leafId);
    }
  }
  for (const leafId of unreadable) {
    byId.delete(leafId);
    dropAtMs.delete(leafId);
  }
  return { byId, byService: groupByService(byId), expiresAtMs: dropAtMs, recentlyRemoved: ended };
}

/**
 * Tells whether an entry is not older than what is known. A store that comes back from a copy tells entries again
 * that their leafs have overwritten since, at positions that count as later; there the leaf's own count decides. Else a
 * leaf that had said it would end, or had ended, got work again.
 */
function isCurrent(
  entry: Leaf,
  known: Leaf | undefined,
  { hasEnded }: { readonly hasEnded: boolean },
): boolean {
  if (known === undefined) {
    return true;
  }
  const isOtherEra = eraOf(entry.entryRevision) !== eraOf(known.entryRevision);
  if (isOtherEra && isSameIncarnation(entry, known)) {
    return hasEnded ? entry.sequence > known.sequence : entry.sequence >= known.sequence;
  }
  return hasEnded || entry.entryRevision >= known.entryRevision;
}

/** Remembers a leaf whose entry is gone; the oldest is forgotten where there are too many. */
function noteEnded(ended: Map<string, Leaf>, leaf: Leaf | undefined): void {
  if (leaf === undefined) {
    return;
  }
  ended.delete(leaf.leafId);
  ended.set(leaf.leafId, leaf);
  const [oldest] = ended.keys();
  if (ended.size > MOST_ENDED && oldest !== undefined) {
    ended.delete(oldest);
  }
}

/** How a whole list of entries is taken in. */
export interface LeafListOptions extends RemovalOptions {
  /** Ids of entries of the list that cannot be read; none by default. */
  readonly unreadable?: ReadonlyArray<string>;
}

/**
 * Takes in a whole list of entries: what it lacks is gone.
 *
 * @param table - Leafs known so far.
 * @param listed - All entries that can be read.
 * @param options - The others, the present moment, and how long a missing entry may come back.
 * @returns The table after that.
 */
export function applyLeafList(
  table: LeafTable,
  listed: ReadonlyArray<Leaf>,
  { unreadable = [], ...removal }: LeafListOptions,
): LeafTable {
  const ids = new Set([...listed.map((leaf) => leaf.leafId), ...unreadable]);
  const removed = [...table.byId.keys()].filter((leafId) => !ids.has(leafId));
  return applyLeafChanges(table, { changed: listed, removed, unreadable }, removal);
}

/** Which leafs are dropped. */
export interface ExpiryOptions {
  readonly nowMs: number;
  readonly mayDrop: (leafId: string) => boolean;
}

/**
 * Drops the leafs whose time to come back is up.
 *
 * @param table - Leafs known so far.
 * @param options - The present moment, and which leafs may be dropped.
 * @returns The table after that; the same object where nothing was due.
 */
export function dropExpiredLeafs(table: LeafTable, { nowMs, mayDrop }: ExpiryOptions): LeafTable {
  const due = [...table.expiresAtMs]
    .filter(([leafId, atMs]) => atMs <= nowMs && mayDrop(leafId))
    .map(([leafId]) => leafId);
  if (due.length === 0) {
    return table;
  }
  return applyLeafChanges(table, { changed: [], removed: due }, { nowMs, graceMs: 0 });
}

function groupByService(byId: ReadonlyMap<string, Leaf>): ReadonlyMap<string, ReadonlyArray<Leaf>> {
  const groups = new Map<string, Array<Leaf>>();
  for (const leaf of byId.values()) {
    const group = groups.get(leaf.service);
    if (group === undefined) {
      groups.set(leaf.service, [leaf]);
    } else {
      group.push(leaf);
    }
  }
  return groups;
}
