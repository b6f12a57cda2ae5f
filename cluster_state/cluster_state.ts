/**
 * State of the cluster as a box knows it, from the store or from peers: the active configuration,
 * the leafs, the evacuations and the orders of rollouts.
 *
 * @module
 */

import type { SyncProgress } from "../fleet/mod.js";
import type { LeafTable } from "../leafs/mod.js";
import {
  type EvacuationUpdate,
  eraOf,
  type RolloutUpdate,
  type StorePosition,
} from "../model/mod.js";
import type { StoreList } from "../platform/mod.js";
import type { RouteTable } from "../routing/mod.js";
import { type ActiveConfiguration, ConfigurationState } from "./_configuration_state.js";
import { waitsForRollouts } from "./_rollout_wait.js";
import { StoreWatches } from "./_store_watches.js";
import { decideWatches } from "./_watch_decisions.js";
import type { ClusterStateOptions } from "./cluster_state_options.js";
import { Evacuations } from "./evacuations.js";
import { LeafRegistry } from "./leaf_registry.js";
import { RolloutOrders } from "./rollout_orders.js";
import { type SharedState, selectSharedState } from "./shared_state.js";
import { StoreHealth } from "./store_health.js";

export type { ActiveConfiguration } from "./_configuration_state.js";

/** The configuration, the leafs, the evacuations and the orders of rollouts that a box uses. */
export class ClusterState {
  readonly #options: ClusterStateOptions;
  readonly #watches: StoreWatches;
  readonly #configuration: ConfigurationState;
  /** The orders of rollouts. */
  readonly rollouts: RolloutOrders;
  readonly #leafs: LeafRegistry;
  readonly #evacuations: Evacuations;
  readonly #health: StoreHealth;
  #startedAtMs = 0;
  /** Whether a peer has answered a request of this box since its start. */
  #hasPeerAnswer = false;
  #isWatcher = true;

  /**
   * @param options - Options of the state.
   */
  constructor(options: ClusterStateOptions) {
    this.#options = options;
    const { nowMs, onLeafs, telemetry } = options;
    const health = new StoreHealth({ telemetry, nowMs });
    this.#health = health;
    this.#configuration = new ConfigurationState({
      telemetry,
      nowMs,
      onRoutes: () => this.setWatcher(this.#isWatcher),
      onChange: options.onConfiguration,
    });
    this.#leafs = new LeafRegistry({
      telemetry,
      nowMs,
      graceMs: () => health.graceMs,
      onChange: onLeafs,
    });
    this.#evacuations = new Evacuations({ telemetry, nowMs, onChange: options.onEvacuations });
    this.rollouts = new RolloutOrders({
      telemetry,
      nowMs,
      nowEpochMs: () => Date.now(),
      onChange: options.onRollouts,
    });
    this.#watches = this.#makeWatches(options);
  }

  #makeWatches({ store, waitMs }: ClusterStateOptions): StoreWatches {
    return new StoreWatches({
      ...{ store, waitMs, health: this.#health },
      configuration: {
        onList: ({ objects }) => this.#configuration.applyObjects(objects),
        onChanges: ({ changed }) => this.#configuration.applyObjects(changed),
      },
      leafs: {
        onList: (list) => {
          this.#detectRestore(list.revision);
          this.#leafs.applyList(list);
        },
        onChanges: (changes) => this.#leafs.applyChanges(changes),
      },
      evacuations: {
        onList: (list) => this.#evacuations.applyList(list),
        onChanges: (changes) => this.#evacuations.applyChanges(changes),
      },
      rollouts: {
        onList: (list) => this.#applyRolloutList(list),
        onChanges: (changes) => this.rollouts.applyChanges(changes),
        onUnchanged: (revision) => this.rollouts.advance(revision),
      },
    });
  }

  /** Starts watching the store. */
  start(): void {
    this.#startedAtMs = this.#options.nowMs();
    this.#watches.start();
  }

  /** Stops watching the store. */
  stop(): void {
    this.#watches.stop();
  }

  /** Whether this box watches the store itself. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /**
   * Whether a configuration, the leafs and, shortly after the start, the orders of rollouts are
   * known. Requests can be served only then.
   */
  get isComplete(): boolean {
    return this.routes !== undefined && this.#leafs.revision > 0 && !this.#waitsForRollouts;
  }

  get #waitsForRollouts(): boolean {
    return waitsForRollouts({
      isRolloutEnabled: this.#options.isRolloutEnabled,
      sinceStartMs: this.#sinceStartMs,
      hasPeerAnswer: this.#hasPeerAnswer,
      rolloutPosition: this.rollouts.position,
    });
  }

  /**
   * Sets whether this box watches the store. Other boxes receive its state from those that do.
   *
   * @param isWatcher - Whether this box watches the store.
   */
  setWatcher(isWatcher: boolean): void {
    this.#isWatcher = isWatcher;
    const { isEvacuationEnabled, isRolloutEnabled } = this.#options;
    const decisions = decideWatches({
      ...{ isWatcher, isEvacuationEnabled, isRolloutEnabled },
      sinceStartMs: this.#sinceStartMs,
      serviceCount: this.routes?.configuration.services.length,
      leafsRevision: this.#leafs.revision,
      evacuationPosition: this.#evacuations.position,
      rolloutPosition: this.rollouts.position,
    });
    this.#watches.apply(decisions);
  }

  get #sinceStartMs(): number {
    return this.#options.nowMs() - this.#startedAtMs;
  }

  /** A box that does not watch the store lists the orders only once, if no peer has sent them. */
  #applyRolloutList(list: StoreList): void {
    if (!this.#isWatcher) {
      this.#watches.pauseRollouts();
    }
    this.rollouts.applyList(list);
  }

  /** Active routes; `undefined` if there is no configuration yet. */
  get routes(): RouteTable | undefined {
    return this.#configuration.routes;
  }

  /** The active configuration and its origin; `undefined` if there is none yet. */
  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#configuration.active;
  }

  /** The known leafs. */
  get leafs(): LeafTable {
    return this.#leafs.table;
  }

  /** Data centres that operators have evacuated; their leafs receive no calls. */
  get evacuated(): ReadonlySet<string> {
    return this.#evacuations.dataCentres;
  }

  /** Evacuations to report to other boxes; `undefined` if there has been none. */
  get evacuationUpdate(): EvacuationUpdate | undefined {
    return this.#evacuations.update;
  }

  /**
   * Merges the evacuations that another box reports.
   *
   * @param update - Reported evacuations.
   * @returns Whether they were newer than those of this box.
   */
  mergeEvacuations(update: EvacuationUpdate): boolean {
    return this.#evacuations.merge(update);
  }

  /**
   * Records that a peer has answered a request of this box. Only then are the stages of rollouts
   * current: the store does not hold them, and an update may have been sent before a switch.
   */
  recordPeerAnswer(): void {
    if (!this.#hasPeerAnswer) {
      this.#hasPeerAnswer = true;
      this.#options.onRollouts([]);
    }
  }

  /** Orders of rollouts to report to other boxes; `undefined` if rollouts are disabled. */
  get rolloutUpdate(): RolloutUpdate | undefined {
    return this.#options.isRolloutEnabled ? this.rollouts.update : undefined;
  }

  /** Store revision up to which the leafs' entries are applied. */
  get leafsRevision(): number {
    return this.#leafs.revision;
  }

  /** Versions of the stored data that this box has applied. */
  get progress(): SyncProgress {
    return {
      configurationVersion: this.routes?.configuration.version ?? 0,
      leafsRevision: this.#leafs.revision,
    };
  }

  /**
   * Time of the last update from the store or a peer, on this box's clock; negative infinity before
   * the first.
   */
  get lastUpdateAtMs(): number {
    return this.#health.lastUpdateAtMs;
  }

  /** Whether the store is reachable. */
  get isStoreReachable(): boolean {
    return this.#health.isReachable;
  }

  /** Age of the store's last answer, in milliseconds, by kind of object that this box watches. */
  get storeAnsweredAgoMs(): ReadonlyMap<string, number> {
    return this.#health.answeredAgoMs();
  }

  /** Drops leafs and evacuations whose entries did not reappear in time. */
  dropExpired(): void {
    this.#leafs.dropExpired({ isStoreReachable: this.isStoreReachable });
    this.#evacuations.dropExpired();
  }

  /**
   * Returns the state that a peer lacks.
   *
   * @param progress - Versions that the peer has.
   * @returns The state to send to the peer.
   */
  sharedStateSince(progress: SyncProgress): SharedState {
    const { changeLog, revision, table } = this.#leafs;
    const snapshot = {
      configuration: this.routes?.configuration,
      leafs: table,
      leafsRevision: revision,
      changeLog,
      nowMs: this.#options.nowMs(),
    };
    return selectSharedState(snapshot, progress);
  }

  /**
   * Merges the state of a peer if it is newer.
   *
   * @param shared - State received from the peer.
   */
  mergeSharedState(shared: SharedState): void {
    this.#health.recordUpdate();
    this.#leafs.mergeSharedState(shared);
    if (shared.configuration !== undefined) {
      this.#configuration.activate(shared.configuration, "peer");
    }
  }

  /**
   * Detects that the store was restored from a backup: leafs get time to write their entries again,
   * and boxes are notified to write theirs.
   */
  #detectRestore(position: StorePosition): void {
    if (this.#leafs.revision > 0 && eraOf(position) > eraOf(this.#leafs.revision)) {
      this.#health.recordRecovery();
      const fields = { era: eraOf(position), before: eraOf(this.#leafs.revision) };
      this.#options.telemetry.event("warn", "store: restored from a backup", fields);
      this.#options.onStoreRestored();
    }
  }
}
