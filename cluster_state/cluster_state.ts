/**
 * What a box believes: the configuration in force and the leafs, from the store or from peers.
 *
 * @module
 */

import type { SyncProgress } from "../fleet/mod.js";
import type { LeafTable } from "../leafs/mod.js";
import { type EvacuationUpdate, eraOf, type StorePosition } from "../model/mod.js";
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
  decodeConfiguration,
  EVACUATION_KIND,
  LEAF_KIND,
  type StoreClient,
  type StoreObject,
} from "../platform/mod.js";
import { buildRouteTable, type Configuration, type RouteTable } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { Evacuations } from "./evacuations.js";
import { LeafRegistry } from "./leaf_registry.js";
import { type SharedState, selectSharedState } from "./shared_state.js";
import { StoreHealth } from "./store_health.js";
import { StoreWatch } from "./store_watch.js";

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
export interface ActiveConfiguration {
  readonly version: number;
  readonly source: "store" | "peer";
  /** When it came into force, on this box's clock. */
  readonly atMs: number;
}

/** What the knowledge is made from. */
export interface ClusterStateOptions {
  readonly store: StoreClient;
  /** Longest time that a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  readonly telemetry: BoxTelemetry;
  readonly nowMs: () => number;
  /** Told after each change of the configuration in force. */
  readonly onConfiguration: (configuration: Configuration) => void;
  /** Told after each change of the leafs. */
  readonly onLeafs: () => void;
  /** Told when the store has come back from a copy, so that it lacks what boxes wrote last. */
  readonly onStoreRestored: () => void;
  /** Whether operators may have data centres emptied; else the store is not asked for it. */
  readonly isEvacuationEnabled: boolean;
  /** Told after each change of the evacuated data centres, with those that are used again. */
  readonly onEvacuations: (usedAgain: ReadonlyArray<string>) => void;
}

/** The configuration and the leafs that a box acts by. */
export class ClusterState {
  readonly #options: ClusterStateOptions;
  readonly #configurationWatch: StoreWatch;
  readonly #leafWatch: StoreWatch;
  readonly #evacuationWatch: StoreWatch;
  readonly #leafs: LeafRegistry;
  readonly #evacuations: Evacuations;
  readonly #health: StoreHealth;
  #startedAtMs = 0;
  #isWatcher = true;
  #routes: RouteTable | undefined;
  #adopted: ActiveConfiguration | undefined;

  /**
   * @param options - What the knowledge is made from.
   */
  constructor(options: ClusterStateOptions) {
    this.#options = options;
    const { nowMs, onLeafs, store, telemetry, waitMs } = options;
    const health = new StoreHealth({ telemetry, nowMs });
    this.#health = health;
    this.#leafs = new LeafRegistry({
      telemetry,
      nowMs,
      graceMs: () => health.graceMs,
      onChange: onLeafs,
    });
    this.#evacuations = new Evacuations({ telemetry, nowMs, onChange: options.onEvacuations });
    this.#configurationWatch = new StoreWatch(
      { store, kind: CONFIGURATION_KIND, waitMs, mayBeStale: false },
      health.listener(CONFIGURATION_KIND, {
        onList: ({ objects }) => this.#readConfiguration(objects),
        onChanges: ({ changed }) => this.#readConfiguration(changed),
      }),
    );
    this.#leafWatch = new StoreWatch(
      { store, kind: LEAF_KIND, waitMs, mayBeStale: true },
      health.listener(LEAF_KIND, {
        onList: (list) => {
          this.#noteEra(list.revision);
          this.#leafs.applyList(list);
        },
        onChanges: (changes) => this.#leafs.applyChanges(changes),
      }),
    );
    this.#evacuationWatch = new StoreWatch(
      { store, kind: EVACUATION_KIND, waitMs, mayBeStale: false },
      health.listener(EVACUATION_KIND, {
        onList: (list) => this.#evacuations.applyList(list),
        onChanges: (changes) => this.#evacuations.applyChanges(changes),
      }),
    );
    this.#leafWatch.pause();
    this.#evacuationWatch.pause();
  }

  /** Begins to watch the store. */
  start(): void {
    this.#startedAtMs = this.#options.nowMs();
    void this.#configurationWatch.run();
    void this.#leafWatch.run();
    void this.#evacuationWatch.run();
  }

  /** Ends the watches. */
  stop(): void {
    this.#configurationWatch.stop();
    this.#leafWatch.stop();
    this.#evacuationWatch.stop();
  }

  /** Whether this box watches the store itself. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /** Whether a configuration and the leafs are known, so that requests can be served. */
  get isComplete(): boolean {
    return this.#routes !== undefined && this.#leafs.revision > 0;
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
      revision: this.#leafs.revision,
    });
    this.#setWanted(this.#evacuationWatch, EVACUATION_KIND, {
      isWanted: isWatcher && this.#options.isEvacuationEnabled && this.#hasLearntPeers,
      revision: this.#evacuations.position,
    });
  }

  /** Whether enough time has passed since the start to know who watches the store. */
  get #hasLearntPeers(): boolean {
    return this.#options.nowMs() - this.#startedAtMs > LEARN_PEERS_MS;
  }

  #wantsLeafWatch(): boolean {
    if (this.#routes === undefined) {
      // It says how many leafs there may be, and without it they are of no use.
      return false;
    }
    const services = this.#routes.configuration.services.length;
    if (this.#leafs.revision === 0 && services > FEW_SERVICES) {
      const sinceStartMs = this.#options.nowMs() - this.#startedAtMs;
      return sinceStartMs > (this.#isWatcher ? LEARN_PEERS_MS : WAIT_FOR_PEER_MS);
    }
    return this.#isWatcher || this.#leafs.revision === 0;
  }

  #setWanted(
    watch: StoreWatch,
    kind: string,
    { isWanted, revision }: { readonly isWanted: boolean; readonly revision: number },
  ): void {
    if (isWanted) {
      watch.resume(revision);
    } else {
      watch.pause();
      this.#health.forget(kind);
    }
  }

  /** Routes in force, or nothing before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Where the configuration in force came from and when, or nothing before the first. */
  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#adopted;
  }

  /** Leafs believed in. */
  get leafs(): LeafTable {
    return this.#leafs.table;
  }

  /** Data centres that operators have emptied: nothing more is sent to their leafs. */
  get evacuated(): ReadonlySet<string> {
    return this.#evacuations.dataCentres;
  }

  /** What other boxes are told of evacuations; nothing while there was none. */
  get evacuationUpdate(): EvacuationUpdate | undefined {
    return this.#evacuations.update;
  }

  /**
   * Takes in what another box knows of evacuations.
   *
   * @param news - What it knows.
   * @returns Whether it was ahead of this one.
   */
  mergeEvacuations(news: EvacuationUpdate): boolean {
    return this.#evacuations.merge(news);
  }

  /** Revision of the store up to which the leafs' entries are known. */
  get leafsRevision(): number {
    return this.#leafs.revision;
  }

  /** How far this box is with what lasts in the store. */
  get progress(): SyncProgress {
    return {
      configurationVersion: this.#routes?.configuration.version ?? 0,
      leafsRevision: this.#leafs.revision,
    };
  }

  /** When the store or a peer's news was last heard, on this box's clock; minus infinity before. */
  get lastUpdateAtMs(): number {
    return this.#health.lastUpdateAtMs;
  }

  /** Whether the store can be heard. */
  get isStoreReachable(): boolean {
    return this.#health.isReachable;
  }

  /** Age of the store's last answer in milliseconds, by kind of object that this box watches. */
  get storeAnsweredAgoMs(): ReadonlyMap<string, number> {
    return this.#health.answeredAgoMs();
  }

  /** Drops the leafs whose entry did not come back in time. */
  dropExpired(): void {
    this.#leafs.dropExpired({ isStoreReachable: this.isStoreReachable });
    this.#evacuations.dropExpired();
  }

  /**
   * Gives what a peer that is behind may take over.
   *
   * @param progress - How far the peer is.
   * @returns What it lacks.
   */
  sharedStateSince(progress: SyncProgress): SharedState {
    const { changeLog: news, revision, table } = this.#leafs;
    const known = {
      configuration: this.#routes?.configuration,
      leafs: table,
      leafsRevision: revision,
      news,
      nowMs: this.#options.nowMs(),
    };
    return selectSharedState(known, progress);
  }

  /**
   * Takes over what a peer knows, where it is ahead.
   *
   * @param shared - What the peer handed over.
   */
  mergeSharedState(shared: SharedState): void {
    this.#health.recordUpdate();
    this.#leafs.mergeSharedState(shared);
    if (shared.configuration !== undefined) {
      this.#adopt(shared.configuration, "peer");
    }
  }

  /** Gives leafs time to write their entries again, and has what boxes had written written again. */
  #noteEra(position: StorePosition): void {
    if (this.#leafs.revision > 0 && eraOf(position) > eraOf(this.#leafs.revision)) {
      this.#health.recordRecovery();
      const fields = { era: eraOf(position), before: eraOf(this.#leafs.revision) };
      this.#options.telemetry.event("warn", "store: came back from a copy", fields);
      this.#options.onStoreRestored();
    }
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
    this.#routes = buildRouteTable(configuration);
    this.#adopted = { version: configuration.version, source, atMs: this.#options.nowMs() };
    this.setWatcher(this.#isWatcher);
    const fields = { version: configuration.version, before: version, source };
    this.#options.telemetry.event("info", "configuration: in force", fields);
    this.#options.onConfiguration(configuration);
  }
}
