/**
 * Table of known leafs, indexed by id and by service.
 *
 * @module
 */
import { eraOf } from "../model/mod.js";
import { isSameIncarnation, type Leaf } from "./leaf.js";

/** Known leafs, indexed for lookup. */
export interface LeafTable {
  readonly byId: ReadonlyMap<string, Leaf>;
  readonly byService: ReadonlyMap<string, ReadonlyArray<Leaf>>;
  /**
   * Times at which expired leafs are dropped, in milliseconds, by leaf id. Their entry is missing
   * but may reappear.
   */
  readonly expiresAtMs: ReadonlyMap<string, number>;
  /**
   * Last known state of recently removed leafs; a store restored from a backup may list them again.
   */
  readonly recentlyRemoved?: ReadonlyMap<string, Leaf>;
}

/** Maximum number of recently removed leafs that are kept. */
const MAX_RECENTLY_REMOVED = 500;

/** An empty table. */
export const EMPTY_LEAF_TABLE: LeafTable = {
  byId: new Map(),
  byService: new Map(),
  expiresAtMs: new Map(),
};

/** Changes to leaf entries. */
export interface LeafChanges {
  /** New or modified entries; entries older than the known ones are ignored. */
  readonly changed: ReadonlyArray<Leaf>;
  /** Ids of deleted entries. */
  readonly removed: ReadonlyArray<string>;
  /**
   * Ids of entries that exist but cannot be parsed; these leafs are dropped without a grace period.
   */
  readonly unreadable?: ReadonlyArray<string>;
}

/** How removed entries are handled. */
export interface RemovalOptions {
  readonly nowMs: number;
  /**
   * Time in which a missing entry may reappear, in milliseconds; 0 drops the leaf immediately.
   */
  readonly graceMs: number;
}

/**
 * Applies changes to the table.
 *
 * @param table - The current table.
 * @param changes - Changed, removed and unreadable entries.
 * @param options - Current time and grace period, in milliseconds.
 * @returns The updated table.
 */
export function applyLeafChanges(
  table: LeafTable,
  { changed, removed, unreadable = [] }: LeafChanges,
  { nowMs, graceMs }: RemovalOptions,
): LeafTable {
  const byId = new Map(table.byId);
  const expiresAtMs = new Map(table.expiresAtMs);
  const recentlyRemoved = new Map(table.recentlyRemoved);
  for (const leaf of changed) {
    const known = byId.get(leaf.leafId);
    if (
      isCurrent(leaf, known ?? recentlyRemoved.get(leaf.leafId), { isRemoved: known === undefined })
    ) {
      byId.set(leaf.leafId, leaf);
      expiresAtMs.delete(leaf.leafId);
      recentlyRemoved.delete(leaf.leafId);
    }
  }
  for (const leafId of removed) {
    if (graceMs > 0 && byId.get(leafId)?.draining === false) {
      expiresAtMs.set(leafId, Math.min(expiresAtMs.get(leafId) ?? Infinity, nowMs + graceMs));
    } else {
      addRecentlyRemoved(recentlyRemoved, byId.get(leafId));
      byId.delete(leafId);
      expiresAtMs.delete(leafId);
    }
  }
  for (const leafId of unreadable) {
    byId.delete(leafId);
    expiresAtMs.delete(leafId);
  }
  return { byId, byService: groupByService(byId), expiresAtMs, recentlyRemoved };
}

/**
 * Returns whether an entry is at least as recent as the known one. A store restored from a backup
 * lists overwritten entries at positions that count as later, so the leaf's own sequence number
 * decides across eras. Otherwise a leaf that is draining or has terminated would receive calls
 * again.
 */
function isCurrent(
  entry: Leaf,
  known: Leaf | undefined,
  { isRemoved }: { readonly isRemoved: boolean },
): boolean {
  if (known === undefined) {
    return true;
  }
  const isOtherEra = eraOf(entry.entryRevision) !== eraOf(known.entryRevision);
  if (isOtherEra && isSameIncarnation(entry, known)) {
    return isRemoved ? entry.sequence > known.sequence : entry.sequence >= known.sequence;
  }
  return isRemoved || entry.entryRevision >= known.entryRevision;
}

/** Adds a leaf to the recently removed leafs and evicts the oldest one above the limit. */
function addRecentlyRemoved(recentlyRemoved: Map<string, Leaf>, leaf: Leaf | undefined): void {
  if (leaf === undefined) {
    return;
  }
  recentlyRemoved.delete(leaf.leafId);
  recentlyRemoved.set(leaf.leafId, leaf);
  const [oldest] = recentlyRemoved.keys();
  if (recentlyRemoved.size > MAX_RECENTLY_REMOVED && oldest !== undefined) {
    recentlyRemoved.delete(oldest);
  }
}

/** How a complete list of entries is applied. */
export interface LeafListOptions extends RemovalOptions {
  /** Ids of listed entries that cannot be parsed; none by default. */
  readonly unreadable?: ReadonlyArray<string>;
}

/**
 * Applies a complete list of entries. Leafs that are not listed are treated as removed.
 *
 * @param table - The current table.
 * @param listed - All entries that can be parsed.
 * @param options - Ids of unreadable entries, current time and grace period in milliseconds.
 * @returns The updated table.
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

/** How expired leafs are dropped. */
export interface ExpiryOptions {
  readonly nowMs: number;
  readonly mayDrop: (leafId: string) => boolean;
}

/**
 * Drops leafs whose grace period has ended.
 *
 * @param table - The current table.
 * @param options - Current time in milliseconds, and a filter of the leafs that may be dropped.
 * @returns The updated table; the same object if no leaf was dropped.
 */
export function dropExpiredLeafs(table: LeafTable, { nowMs, mayDrop }: ExpiryOptions): LeafTable {
  const expired = [...table.expiresAtMs]
    .filter(([leafId, atMs]) => atMs <= nowMs && mayDrop(leafId))
    .map(([leafId]) => leafId);
  if (expired.length === 0) {
    return table;
  }
  return applyLeafChanges(table, { changed: [], removed: expired }, { nowMs, graceMs: 0 });
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
