/**
 * The watches of the store from which a box receives the state of the cluster.
 *
 * @module
 */
import {
  CONFIGURATION_KIND,
  EVACUATION_KIND,
  LEAF_KIND,
  ROLLOUT_KIND,
  type StoreClient,
} from "../platform/mod.js";
import type { WatchDecision, WatchDecisions } from "./_watch_decisions.js";
import type { StoreHealth } from "./store_health.js";
import { StoreWatch, type StoreWatchListener } from "./store_watch.js";

/**
 * Maximum time for which a watch of orders waits for a change, in milliseconds. It is longer than
 * that of other watches, as each call is charged. If a watcher's connection breaks unnoticed, it
 * learns of orders from the other watchers meanwhile.
 */
const ROLLOUT_WATCH_WAIT_MS = 10_000;

/**
 * Delay of the next watch after one that returned orders, in milliseconds. It is short, as an
 * order's deadline counts from when the order was written.
 */
const ROLLOUT_BATCH_DELAY_MS = 100;

/** Callbacks for the objects of one kind. */
export type ObjectHandlers = Pick<StoreWatchListener, "onList" | "onChanges" | "onUnchanged">;

/** Options of the watches. */
export interface StoreWatchesOptions {
  readonly store: StoreClient;
  /** Maximum time for which a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  /** Records whether the store is reachable. */
  readonly health: StoreHealth;
  readonly configuration: ObjectHandlers;
  readonly leafs: ObjectHandlers;
  readonly evacuations: ObjectHandlers;
  readonly rollouts: ObjectHandlers;
}

/** One watch of each kind. At first, only the configuration is watched. */
export class StoreWatches {
  readonly #health: StoreHealth;
  readonly #configuration: StoreWatch;
  readonly #leafs: StoreWatch;
  readonly #evacuations: StoreWatch;
  readonly #rollouts: StoreWatch;

  /**
   * @param options - Options of the watches.
   */
  constructor(options: StoreWatchesOptions) {
    const { health, store, waitMs } = options;
    this.#health = health;
    this.#configuration = new StoreWatch(
      { store, kind: CONFIGURATION_KIND, waitMs, mayBeStale: false },
      health.listener(CONFIGURATION_KIND, options.configuration),
    );
    this.#leafs = new StoreWatch(
      { store, kind: LEAF_KIND, waitMs, mayBeStale: true },
      health.listener(LEAF_KIND, options.leafs),
    );
    this.#evacuations = new StoreWatch(
      { store, kind: EVACUATION_KIND, waitMs, mayBeStale: false },
      health.listener(EVACUATION_KIND, options.evacuations),
    );
    this.#rollouts = new StoreWatch(
      {
        ...{ store, kind: ROLLOUT_KIND, waitMs: ROLLOUT_WATCH_WAIT_MS, mayBeStale: false },
        batchDelayMs: ROLLOUT_BATCH_DELAY_MS,
      },
      health.listener(ROLLOUT_KIND, options.rollouts),
    );
    this.#leafs.pause();
    this.#evacuations.pause();
    this.#rollouts.pause();
  }

  /** Starts all watches. */
  start(): void {
    void this.#configuration.run();
    void this.#leafs.run();
    void this.#evacuations.run();
    void this.#rollouts.run();
  }

  /** Stops all watches. */
  stop(): void {
    this.#configuration.stop();
    this.#leafs.stop();
    this.#evacuations.stop();
    this.#rollouts.stop();
  }

  /**
   * Resumes and pauses the watches.
   *
   * @param decisions - Which kinds to watch.
   */
  apply(decisions: WatchDecisions): void {
    this.#setWatching(this.#configuration, CONFIGURATION_KIND, decisions.configuration);
    this.#setWatching(this.#leafs, LEAF_KIND, decisions.leafs);
    this.#setWatching(this.#evacuations, EVACUATION_KIND, decisions.evacuations);
    this.#setWatching(this.#rollouts, ROLLOUT_KIND, decisions.rollouts);
  }

  /** Pauses the watch of the orders of rollouts until the next decisions. */
  pauseRollouts(): void {
    this.#rollouts.pause();
  }

  #setWatching(watch: StoreWatch, kind: string, { shouldWatch, revision }: WatchDecision): void {
    if (shouldWatch) {
      watch.resume(revision);
    } else {
      watch.pause();
      this.#health.forget(kind);
    }
  }
}
