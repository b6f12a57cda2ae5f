/**
 * The leafs that a box knows, from the store or from peers, whichever has the later revision.
 *
 * @module
 */
import {
  applyLeafChanges,
  applyLeafList,
  dropExpiredLeafs,
  EMPTY_LEAF_TABLE,
  isSameIncarnation,
  type Leaf,
  type LeafTable,
} from "../leafs/mod.js";
import { eraOf, storePosition } from "../model/mod.js";
import {
  decodeLeaf,
  type StoreChanges,
  type StoreList,
  type StoreObject,
} from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { LeafChangeLog } from "./leaf_change_log.js";
import { applySharedState, type SharedState } from "./shared_state.js";

/** Maximum number of leafs in a log line. */
const MAX_LOGGED_LEAFS = 20;

/** Maximum length of the name of an unreadable entry in a log line, in characters. */
const MAX_LOGGED_NAME_CHARS = 40;

/** Options of a leaf registry. */
export interface LeafRegistryOptions {
  readonly telemetry: Pick<BoxTelemetry, "event">;
  readonly nowMs: () => number;
  /** Returns the time in which a missing entry may reappear, in milliseconds; 0 if it may not. */
  readonly graceMs: () => number;
  /** Called after each change. */
  readonly onChange: () => void;
}

/** Leafs with the store revision up to which they are known. */
export class LeafRegistry {
  readonly #options: LeafRegistryOptions;
  readonly changeLog = new LeafChangeLog();
  #table: LeafTable = EMPTY_LEAF_TABLE;
  #revision = 0;
  /** Leafs whose entry has expired, as last reported by a peer. */
  #reportedExpired: ReadonlySet<string> = new Set();

  /**
   * @param options - Options of the registry.
   */
  constructor(options: LeafRegistryOptions) {
    this.#options = options;
  }

  /** The known leafs. */
  get table(): LeafTable {
    return this.#table;
  }

  /** Store revision up to which the leafs' entries are applied; 0 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Applies a complete list of the store. A list older than the current revision is ignored.
   *
   * @param list - List of all entries.
   */
  applyList({ objects, revision }: StoreList): void {
    if (revision >= this.#revision) {
      const { leafs, unreadable } = this.#decode(objects, eraOf(revision));
      this.changeLog.reset(revision);
      const options = { ...this.#removalOptions(), unreadable };
      this.#set(applyLeafList(this.#table, leafs, options), revision);
    }
  }

  /**
   * Applies changes of the store. Changes up to the current revision are ignored.
   *
   * @param changes - Changed and removed entries.
   */
  applyChanges({ changed, removed, revision }: StoreChanges): void {
    if (revision > this.#revision) {
      const { leafs, unreadable } = this.#decode(changed, eraOf(revision));
      this.changeLog.record({
        changed: leafs.map(({ leafId }) => leafId),
        removed: [...removed, ...unreadable],
        revision,
      });
      const changes = { changed: leafs, removed, unreadable };
      this.#set(applyLeafChanges(this.#table, changes, this.#removalOptions()), revision);
    }
  }

  /**
   * Merges the state of a peer if its revision is later.
   *
   * @param shared - State received from the peer.
   */
  mergeSharedState(shared: SharedState): void {
    const { lapsed, leafs, removed, leafsRevision } = shared;
    if (leafsRevision <= this.#revision) {
      return;
    }
    if (removed === undefined) {
      this.changeLog.reset(leafsRevision);
    } else {
      const changed = leafs.map(({ leafId }) => leafId);
      this.changeLog.record({ changed, removed, revision: leafsRevision });
    }
    this.#reportedExpired = new Set(lapsed.map(({ leafId }) => leafId));
    this.#set(applySharedState(this.#table, shared, this.#options.nowMs()), leafsRevision);
  }

  /**
   * Drops the leafs whose entry did not reappear in time. While the store is unreachable, no entry
   * can reappear for this box, and only leafs that a peer reported as expired are dropped: that
   * peer does not report the removal again, and such a leaf would be called for seconds otherwise.
   *
   * @param options - Whether this box can reach the store.
   */
  dropExpired({ isStoreReachable }: { readonly isStoreReachable: boolean }): void {
    const mayDrop = (leafId: string): boolean =>
      isStoreReachable || this.#reportedExpired.has(leafId);
    const kept = dropExpiredLeafs(this.#table, { nowMs: this.#options.nowMs(), mayDrop });
    if (kept !== this.#table) {
      this.#set(kept, this.#revision);
    }
  }

  #removalOptions(): { readonly nowMs: number; readonly graceMs: number } {
    return { nowMs: this.#options.nowMs(), graceMs: this.#options.graceMs() };
  }

  #decode(objects: ReadonlyArray<StoreObject>, era: number): DecodedEntries {
    const leafs: Array<Leaf> = [];
    const unreadable: Array<string> = [];
    for (const { name, revision, spec } of objects) {
      const leaf = decodeLeaf(name, spec, { revision: storePosition({ era, revision }) });
      if (leaf === undefined) {
        unreadable.push(name);
      } else {
        leafs.push(leaf);
      }
    }
    if (unreadable.length > 0) {
      this.#options.telemetry.event("warn", "leafs: entries that cannot be read are passed over", {
        count: unreadable.length,
        leafIds: unreadable
          .slice(0, MAX_LOGGED_LEAFS)
          .map((name) => name.slice(0, MAX_LOGGED_NAME_CHARS)),
      });
    }
    return { leafs, unreadable };
  }

  #set(table: LeafTable, revision: number): void {
    const before = this.#table;
    this.#table = table;
    this.#revision = revision;
    this.#logRestarts(before);
    this.#options.telemetry.event("info", "leafs: changed", {
      revision,
      count: table.byId.size,
      added: idsMissingIn(before, table.byId.keys()),
      gone: idsMissingIn(table, before.byId.keys()),
      draining: [...table.byId.values()]
        .filter(({ draining }) => draining)
        .map(({ leafId }) => leafId)
        .slice(0, MAX_LOGGED_LEAFS),
    });
    this.#options.onChange();
  }

  #logRestarts(before: LeafTable): void {
    const restarted = [...this.#table.byId.values()].filter((leaf) => {
      const former = before.byId.get(leaf.leafId);
      return former !== undefined && !isSameIncarnation(former, leaf);
    });
    if (restarted.length > 0) {
      this.#options.telemetry.event("info", "leafs: restarted under the same id", {
        count: restarted.length,
        leafIds: restarted.slice(0, MAX_LOGGED_LEAFS).map(({ leafId }) => leafId),
      });
    }
  }
}

/** Decoded entries of the store, and the names of those that cannot be decoded. */
interface DecodedEntries {
  readonly leafs: ReadonlyArray<Leaf>;
  readonly unreadable: ReadonlyArray<string>;
}

function idsMissingIn({ byId }: LeafTable, leafIds: Iterable<string>): ReadonlyArray<string> {
  return [...leafIds].filter((leafId) => !byId.has(leafId)).slice(0, MAX_LOGGED_LEAFS);
}
