/**
 * The leafs that a box believes in, from the store or from peers, whichever is ahead.
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

/** Leafs that a log line names at most. */
const MOST_NAMED = 20;

/** Signs of a strange entry's name that a log line holds at most; leafs' ids have some ten. */
const MOST_NAME_CHARS = 40;

/** What the registry is made from. */
export interface LeafRegistryOptions {
  readonly telemetry: Pick<BoxTelemetry, "event">;
  readonly nowMs: () => number;
  /** Tells how long an entry that is gone may come back, in milliseconds; 0 for not at all. */
  readonly graceMs: () => number;
  /** Told after each change. */
  readonly onChange: () => void;
}

/** Leafs with the revision of the store up to which they are known. */
export class LeafRegistry {
  readonly #options: LeafRegistryOptions;
  readonly changeLog = new LeafChangeLog();
  #table: LeafTable = EMPTY_LEAF_TABLE;
  #revision = 0;
  /** Leafs whose entry is missing by a peer's word, as of the last one that told. */
  #toldLapsed: ReadonlySet<string> = new Set();

  /**
   * @param options - What the registry is made from.
   */
  constructor(options: LeafRegistryOptions) {
    this.#options = options;
  }

  /** Leafs believed in. */
  get table(): LeafTable {
    return this.#table;
  }

  /** Revision of the store up to which the leafs' entries are known; 0 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Takes in a whole list of the store. One that is older than what peers have told is passed over.
   *
   * @param list - The list.
   */
  applyList({ objects, revision }: StoreList): void {
    if (revision >= this.#revision) {
      const { leafs, unreadable } = this.#decode(objects, eraOf(revision));
      this.changeLog.reset(revision);
      const options = { ...this.#removal(), unreadable };
      this.#set(applyLeafList(this.#table, leafs, options), revision);
    }
  }

  /**
   * Takes in changes of the store. Those that peers have told already are passed over.
   *
   * @param changes - The changes.
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
      this.#set(applyLeafChanges(this.#table, changes, this.#removal()), revision);
    }
  }

  /**
   * Takes over what a peer knows, where it is ahead.
   *
   * @param shared - What the peer handed over.
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
    this.#toldLapsed = new Set(lapsed.map(({ leafId }) => leafId));
    this.#set(applySharedState(this.#table, shared, this.#options.nowMs()), leafsRevision);
  }

  /**
   * Drops the leafs whose entry did not come back in time. While the store is away nothing can come back,
   * so that only those are dropped whose time a peer has told: it has heard the store, and what it drops
   * itself it does not tell again. Kept, such a leaf got work 3.3 s after its entry had gone.
   *
   * @param options - Whether this box hears the store.
   */
  dropExpired({ isStoreReachable }: { readonly isStoreReachable: boolean }): void {
    const mayDrop = (leafId: string): boolean => isStoreReachable || this.#toldLapsed.has(leafId);
    const kept = dropExpiredLeafs(this.#table, { nowMs: this.#options.nowMs(), mayDrop });
    if (kept !== this.#table) {
      this.#set(kept, this.#revision);
    }
  }

  #removal(): { readonly nowMs: number; readonly graceMs: number } {
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
        leafIds: unreadable.slice(0, MOST_NAMED).map((name) => name.slice(0, MOST_NAME_CHARS)),
      });
    }
    return { leafs, unreadable };
  }

  #set(table: LeafTable, revision: number): void {
    const before = this.#table;
    this.#table = table;
    this.#revision = revision;
    this.#tellRestarts(before);
    this.#options.telemetry.event("info", "leafs: changed", {
      revision,
      count: table.byId.size,
      added: missingIn(before, table.byId.keys()),
      gone: missingIn(table, before.byId.keys()),
      draining: [...table.byId.values()]
        .filter(({ draining }) => draining)
        .map(({ leafId }) => leafId)
        .slice(0, MOST_NAMED),
    });
    this.#options.onChange();
  }

  #tellRestarts(before: LeafTable): void {
    const restarted = [...this.#table.byId.values()].filter((leaf) => {
      const former = before.byId.get(leaf.leafId);
      return former !== undefined && !isSameIncarnation(former, leaf);
    });
    if (restarted.length > 0) {
      this.#options.telemetry.event("info", "leafs: started again under their id", {
        count: restarted.length,
        leafIds: restarted.slice(0, MOST_NAMED).map(({ leafId }) => leafId),
      });
    }
  }
}

/** Entries of the store, told apart by whether they can be read. */
interface DecodedEntries {
  readonly leafs: ReadonlyArray<Leaf>;
  readonly unreadable: ReadonlyArray<string>;
}

function missingIn({ byId }: LeafTable, leafIds: Iterable<string>): ReadonlyArray<string> {
  return [...leafIds].filter((leafId) => !byId.has(leafId)).slice(0, MOST_NAMED);
}
