/**
 * What a box believes: the configuration in force and the leafs, from the store or from peers.
 *
 * @module
 */
import {
  applyLeafChanges,
  applyLeafList,
  dropOverdueLeafs,
  type Leaf,
  type LeafTable,
  NO_LEAFS,
} from "../leafs/mod.js";
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
  decodeConfiguration,
  decodeLeaf,
  LEAF_KIND,
  type StoreClient,
  type StoreObject,
} from "../platform/mod.js";
import { type Configuration, type RouteTable, routeTable } from "../routing/mod.js";
import type { BoxTelemetry } from "./box_telemetry.js";
import type { Progress } from "./fleet_link.js";
import { type RegistryListener, RegistryWatch } from "./registry_watch.js";

/**
 * Time that a leaf's entry has to come back after an outage of the store, in milliseconds: entries
 * that lapsed meanwhile are written anew within about two seconds, or their leafs are gone.
 */
const REAPPEAR_MS = 2_000;

/**
 * Time after the store's return in which entries that are gone are taken to have lapsed, in
 * milliseconds; those whose leafs live are back by then.
 */
const RETURN_MS = 2_500;

/** What a peer hands over to a box that is behind. */
export interface SharedKnowledge {
  readonly configuration: Configuration | undefined;
  readonly leafs: ReadonlyArray<Leaf>;
  readonly leafsRevision: number;
}

/** What the knowledge is made from. */
export interface BoxKnowledgeOptions {
  readonly store: StoreClient;
  /** Longest time that a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  readonly telemetry: BoxTelemetry;
  readonly nowMs: () => number;
  /** Told after each change of the configuration in force. */
  readonly onConfiguration: (configuration: Configuration) => void;
  /** Told after each change of the leafs. */
  readonly onLeafs: () => void;
}

/** The configuration and the leafs that a box acts by. */
export class BoxKnowledge {
  readonly #options: BoxKnowledgeOptions;
  readonly #watches: ReadonlyArray<RegistryWatch>;
  #routes: RouteTable | undefined;
  #leafs: LeafTable = NO_LEAFS;
  #leafsRevision = 0;
  /** Kinds whose watch has lost the store. */
  readonly #lost = new Set<string>();
  #regainedAtMs = -Infinity;
  #heardAtMs = -Infinity;

  /**
   * @param options - What the knowledge is made from.
   */
  constructor(options: BoxKnowledgeOptions) {
    this.#options = options;
    const { store, waitMs } = options;
    this.#watches = [
      new RegistryWatch(
        { store, kind: CONFIGURATION_KIND, waitMs, mayBeStale: false },
        this.#listener(CONFIGURATION_KIND, {
          onList: ({ objects }) => this.#readConfiguration(objects),
          onChanges: ({ changed }) => this.#readConfiguration(changed),
        }),
      ),
      new RegistryWatch(
        { store, kind: LEAF_KIND, waitMs, mayBeStale: true },
        this.#listener(LEAF_KIND, {
          onList: ({ objects, revision }) => this.#readLeafList(objects, revision),
          onChanges: ({ changed, removed, revision }) => {
            this.#setLeafs(
              applyLeafChanges(
                this.#leafs,
                { changed: this.#decodeLeafs(changed), removed },
                this.#removal(),
              ),
              revision,
            );
          },
        }),
      ),
    ];
  }

  /** Begins to watch the store. */
  start(): void {
    for (const watch of this.#watches) {
      void watch.run();
    }
  }

  /** Ends the watches. */
  stop(): void {
    for (const watch of this.#watches) {
      watch.stop();
    }
  }

  /** Routes in force, or nothing before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Leafs believed in. */
  get leafs(): LeafTable {
    return this.#leafs;
  }

  /** Revision of the store up to which the leafs' entries are known. */
  get leafsRevision(): number {
    return this.#leafsRevision;
  }

  /** How far this box is with what lasts in the store. */
  get progress(): Progress {
    return {
      configurationVersion: this.#routes?.configuration.version ?? 0,
      leafsRevision: this.#leafsRevision,
    };
  }

  /** When the store was last heard, on this box's clock; minus infinity before the first time. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Whether the store can be heard. */
  get hearsStore(): boolean {
    return this.#lost.size === 0;
  }

  /** Drops the leafs whose entry did not come back in time. */
  dropOverdue(): void {
    const kept = dropOverdueLeafs(this.#leafs, { nowMs: this.#options.nowMs() });
    // While the store is away nothing can come back, so nothing is dropped either.
    if (kept !== this.#leafs && this.hearsStore) {
      this.#setLeafs(kept, this.#leafsRevision);
    }
  }

  /** Gives what peers that are behind may take over. */
  share(): SharedKnowledge {
    return {
      configuration: this.#routes?.configuration,
      leafs: [...this.#leafs.byId.values()],
      leafsRevision: this.#leafsRevision,
    };
  }

  /**
   * Takes over what a peer knows, where it is ahead.
   *
   * @param shared - What the peer handed over.
   */
  takeOver({ configuration, leafs, leafsRevision }: SharedKnowledge): void {
    if (configuration !== undefined) {
      this.#adopt(configuration, "peer");
    }
    if (leafsRevision > this.#leafsRevision) {
      this.#setLeafs(applyLeafList(this.#leafs, leafs, this.#removal()), leafsRevision);
    }
  }

  #listener(
    kind: string,
    handlers: Pick<RegistryListener, "onList" | "onChanges">,
  ): RegistryListener {
    const { telemetry, nowMs } = this.#options;
    return {
      ...handlers,
      onHeard: () => {
        this.#heardAtMs = nowMs();
      },
      onLost: (error) => {
        this.#lost.add(kind);
        telemetry.event("warn", "store: lost", { kind, reason: error.message });
      },
      onHistoryGone: () => telemetry.event("warn", "store: history gone, listing anew", { kind }),
      onRegained: () => {
        this.#lost.delete(kind);
        this.#regainedAtMs = nowMs();
        telemetry.event("info", "store: regained", { kind });
      },
    };
  }

  #readConfiguration(objects: ReadonlyArray<StoreObject>): void {
    const object = objects.find(({ name }) => name === CONFIGURATION_NAME);
    if (object === undefined) {
      return;
    }
    const decoded = decodeConfiguration(object.spec);
    if (decoded.isErr()) {
      const fields = { revision: object.revision, reason: decoded.error };
      this.#options.telemetry.event("error", "configuration: cannot be read", fields);
      return;
    }
    this.#adopt(decoded.value, "store");
  }

  /** A configuration once in force is never left for an older one. */
  #adopt(configuration: Configuration, source: "store" | "peer"): void {
    const version = this.#routes?.configuration.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= version) {
      return;
    }
    this.#routes = routeTable(configuration);
    const fields = { version: configuration.version, before: version, source };
    this.#options.telemetry.event("info", "configuration: in force", fields);
    this.#options.onConfiguration(configuration);
  }

  #readLeafList(objects: ReadonlyArray<StoreObject>, revision: number): void {
    const leafs = this.#decodeLeafs(objects);
    this.#setLeafs(applyLeafList(this.#leafs, leafs, this.#removal()), revision);
  }

  #decodeLeafs(objects: ReadonlyArray<StoreObject>): ReadonlyArray<Leaf> {
    return objects.flatMap(({ name, spec }) => {
      const leaf = decodeLeaf(name, spec);
      if (leaf === undefined) {
        this.#options.telemetry.event("warn", "leafs: entry cannot be read", { leafId: name });
      }
      return leaf ?? [];
    });
  }

  #removal(): { readonly nowMs: number; readonly graceMs: number } {
    const nowMs = this.#options.nowMs();
    const isReturn = !this.hearsStore || nowMs - this.#regainedAtMs < RETURN_MS;
    return { nowMs, graceMs: isReturn ? REAPPEAR_MS : 0 };
  }

  #setLeafs(leafs: LeafTable, revision: number): void {
    const before = this.#leafs;
    this.#leafs = leafs;
    this.#leafsRevision = Math.max(this.#leafsRevision, revision);
    const fields = {
      revision,
      count: leafs.byId.size,
      added: [...leafs.byId.keys()].filter((leafId) => !before.byId.has(leafId)).slice(0, 20),
      gone: [...before.byId.keys()].filter((leafId) => !leafs.byId.has(leafId)).slice(0, 20),
      draining: [...leafs.byId.values()]
        .filter(({ draining }) => draining)
        .map(({ leafId }) => leafId)
        .slice(0, 20),
    };
    this.#options.telemetry.event("info", "leafs: changed", fields);
    this.#options.onLeafs();
  }
}
