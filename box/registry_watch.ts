/**
 * Keeps up with one kind of object in the platform's store: a list, then watches from there on.
 *
 * @module
 */
import type { StoreChanges, StoreClient, StoreError, StoreList } from "../platform/mod.js";

/**
 * Longest time that a watch waits for a change, in milliseconds. A watch whose connection is cut
 * without a word is noticed only when this and the time for an answer (1,500) have passed; both
 * together must be below the 4,000 after which a box counts as in touch again.
 */
export const WATCH_MS = 2_000;

/**
 * Pause after a watch that brought changes, in milliseconds: changes that come close together share
 * the next call. Well below the time in which changes must be in force.
 */
const GATHER_MS = 250;

/** Waits after failures in a row, in milliseconds; the store must be found within 2 s of its return. */
const BACKOFF_MS = [100, 250, 500, 800] as const;

/** Where the news of a kind goes. */
export interface RegistryListener {
  /** Told of all objects after a list. */
  onList(list: StoreList): void;
  /** Told of changes. */
  onChanges(changes: StoreChanges): void;
  /** Told with each answer of the store, also one without a change. */
  onHeard(): void;
  /** Told when changes were missed, so that all is listed anew. */
  onHistoryGone(): void;
  /** Told when the store can no longer be heard, and why. */
  onLost(error: StoreError): void;
  /** Told when it can be heard again. */
  onRegained(): void;
}

/** What is watched. */
export interface RegistryWatchOptions {
  readonly store: Pick<StoreClient, "list" | "watch">;
  readonly kind: string;
  /** Whether the first list may be seconds old; the watch that follows brings it up to date. */
  readonly mayBeStale: boolean;
}

/** Watches one kind until it is stopped. */
export class RegistryWatch {
  readonly #options: RegistryWatchOptions;
  readonly #listener: RegistryListener;
  #stopped = false;
  #revision: number | undefined;
  #failures = 0;
  #hasListed = false;

  /**
   * @param options - What is watched.
   * @param listener - Where its news goes.
   */
  constructor(options: RegistryWatchOptions, listener: RegistryListener) {
    this.#options = options;
    this.#listener = listener;
  }

  /** Watches until `stop()` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const pauseMs = this.#revision === undefined ? await this.#list() : await this.#watch();
      if (pauseMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
      }
    }
  }

  /** Ends the watch after the call under way. */
  stop(): void {
    this.#stopped = true;
  }

  async #list(): Promise<number> {
    const { store, kind, mayBeStale } = this.#options;
    // Only the first list may be old: one after the history was lost must hold what the gap hid.
    const list = await store.list(kind, { mayBeStale: mayBeStale && !this.#hasListed });
    if (list.isErr()) {
      return this.#fail(list.error);
    }
    this.#recover();
    this.#hasListed = true;
    this.#revision = list.value.revision;
    this.#listener.onList(list.value);
    return 0;
  }

  async #watch(): Promise<number> {
    const { store, kind } = this.#options;
    const sinceRevision = this.#revision ?? 0;
    const changes = await store.watch(kind, { sinceRevision, waitMs: WATCH_MS });
    if (changes.isErr()) {
      if (changes.error.kind === "historyGone") {
        this.#revision = undefined;
        this.#listener.onHistoryGone();
        return 0;
      }
      return this.#fail(changes.error);
    }
    this.#recover();
    this.#revision = changes.value.revision;
    const { changed, removed } = changes.value;
    if (changed.length + removed.length === 0) {
      return 0;
    }
    this.#listener.onChanges(changes.value);
    return GATHER_MS;
  }

  #fail(error: StoreError): number {
    this.#failures += 1;
    if (this.#failures === 1) {
      this.#listener.onLost(error);
    }
    return BACKOFF_MS[Math.min(this.#failures, BACKOFF_MS.length) - 1] ?? GATHER_MS;
  }

  #recover(): void {
    this.#listener.onHeard();
    if (this.#failures > 0) {
      this.#failures = 0;
      this.#listener.onRegained();
    }
  }
}
