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
  type StoreChanges,
  type StoreClient,
  type StoreList,
  type StoreObject,
} from "../platform/mod.js";
import { type Configuration, type RouteTable, routeTable } from "../routing/mod.js";
import type { BoxTelemetry } from "./box_telemetry.js";
import type { Progress } from "./fleet_messages.js";
import { LeafNews } from "./leaf_news.js";
import { type RegistryListener, RegistryWatch } from "./registry_watch.js";
import { applyShared, type SharedKnowledge, shareKnowledge } from "./shared_knowledge.js";

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

/**
 * Services up to which a box lists the leafs at once when it starts. Where there are more, the list
 * is worth waiting a moment for a peer that has it.
 */
const FEW_SERVICES = 100;

/** Time after the start in which a box learns whether it is to watch the store, in milliseconds. */
const LEARN_PEERS_MS = 1_000;

/** Time after the start for which a box that is not to watch waits for a peer's leafs, in milliseconds. */
const WAIT_FOR_PEER_MS = 2_500;

/** The configuration in force, and how it came. */
export interface AdoptedConfiguration {
  readonly version: number;
  readonly source: "store" | "peer";
  /** When it came into force, on this box's clock. */
  readonly atMs: number;
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
  readonly #configurationWatch: RegistryWatch;
  readonly #leafWatch: RegistryWatch;
  readonly #news = new LeafNews();
  #startedAtMs = 0;
  #isWatcher = true;
  #routes: RouteTable | undefined;
  #adopted: AdoptedConfiguration | undefined;
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
    this.#configurationWatch = new RegistryWatch(
      { store, kind: CONFIGURATION_KIND, waitMs, mayBeStale: false },
      this.#listener(CONFIGURATION_KIND, {
        onList: ({ objects }) => this.#readConfiguration(objects),
        onChanges: ({ changed }) => this.#readConfiguration(changed),
      }),
    );
    this.#leafWatch = new RegistryWatch(
      { store, kind: LEAF_KIND, waitMs, mayBeStale: true },
      this.#listener(LEAF_KIND, {
        onList: (list) => this.#readLeafList(list),
        onChanges: (changes) => this.#readLeafChanges(changes),
      }),
    );
    this.#leafWatch.pause();
  }

  /** Begins to watch the store. */
  start(): void {
    this.#startedAtMs = this.#options.nowMs();
    void this.#configurationWatch.run();
    void this.#leafWatch.run();
  }

  /** Ends the watches. */
  stop(): void {
    this.#configurationWatch.stop();
    this.#leafWatch.stop();
  }

  /** Whether this box watches the store itself. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /** Whether a configuration and the leafs are known, so that requests can be served. */
  get isComplete(): boolean {
    return this.#routes !== undefined && this.#leafsRevision > 0;
  }

  /**
   * Says whether this box is among those that watch the store; the others hear from them.
   *
   * @param isWatcher - Whether it is.
   */
  setWatcher(isWatcher: boolean): void {
    this.#isWatcher = isWatcher;
    this.#setWanted(this.#configurationWatch, CONFIGURATION_KIND, {
      isWanted: isWatcher || this.#routes === undefined,
      revision: 0,
    });
    this.#setWanted(this.#leafWatch, LEAF_KIND, {
      isWanted: this.#wantsLeafWatch(),
      revision: this.#leafsRevision,
    });
  }

  #wantsLeafWatch(): boolean {
    const services = this.#routes?.configuration.services.length ?? Number.POSITIVE_INFINITY;
    if (this.#leafsRevision === 0 && services > FEW_SERVICES) {
      const sinceStartMs = this.#options.nowMs() - this.#startedAtMs;
      return sinceStartMs > (this.#isWatcher ? LEARN_PEERS_MS : WAIT_FOR_PEER_MS);
    }
    return this.#isWatcher || this.#leafsRevision === 0;
  }

  #setWanted(
    watch: RegistryWatch,
    kind: string,
    { isWanted, revision }: { readonly isWanted: boolean; readonly revision: number },
  ): void {
    if (isWanted) {
      watch.resume(revision);
    } else {
      watch.pause();
      this.#lost.delete(kind);
    }
  }

  /** Routes in force, or nothing before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Where the configuration in force came from and when, or nothing before the first. */
  get adopted(): AdoptedConfiguration | undefined {
    return this.#adopted;
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

  /** When the store or a peer's news was last heard, on this box's clock; minus infinity before. */
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

  /**
   * Gives what a peer that is behind may take over.
   *
   * @param progress - How far the peer is.
   * @returns What it lacks.
   */
  share(progress: Progress): SharedKnowledge {
    const configuration = this.#routes?.configuration;
    const { nowMs } = this.#options;
    const known = { configuration, leafs: this.#leafs, leafsRevision: this.#leafsRevision };
    return shareKnowledge({ ...known, news: this.#news, nowMs: nowMs() }, progress);
  }

  /**
   * Takes over what a peer knows, where it is ahead.
   *
   * @param shared - What the peer handed over.
   */
  takeOver(shared: SharedKnowledge): void {
    const { configuration, leafs, removed, leafsRevision } = shared;
    this.#heardAtMs = this.#options.nowMs();
    if (leafsRevision > this.#leafsRevision) {
      if (removed === undefined) {
        this.#news.restart(leafsRevision);
      } else {
        const changed = leafs.map(({ leafId }) => leafId);
        this.#news.note({ changed, removed, revision: leafsRevision });
      }
      this.#setLeafs(applyShared(this.#leafs, shared, this.#options.nowMs()), leafsRevision);
    }
    if (configuration !== undefined) {
      this.#adopt(configuration, "peer");
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
    this.#adopted = { version: configuration.version, source, atMs: this.#options.nowMs() };
    this.setWatcher(this.#isWatcher);
    const fields = { version: configuration.version, before: version, source };
    this.#options.telemetry.event("info", "configuration: in force", fields);
    this.#options.onConfiguration(configuration);
  }

  #readLeafList({ objects, revision }: StoreList): void {
    const leafs = this.#decodeLeafs(objects);
    this.#news.restart(revision);
    this.#setLeafs(applyLeafList(this.#leafs, leafs, this.#removal()), revision);
  }

  #readLeafChanges({ changed, removed, revision }: StoreChanges): void {
    const leafs = this.#decodeLeafs(changed);
    this.#news.note({ changed: changed.map(({ name }) => name), removed, revision });
    const changes = { changed: leafs, removed };
    this.#setLeafs(applyLeafChanges(this.#leafs, changes, this.#removal()), revision);
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
