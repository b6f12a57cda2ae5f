/**
 * Tracks one kind of object in the platform's store: lists the objects, then watches for changes.
 *
 * @module
 */
import { nowMs } from "../clock/mod.js";
import type { StorePosition } from "../model/mod.js";
import {
  STORE_RESPONSE_TIMEOUT_MS,
  type StoreChanges,
  type StoreClient,
  type StoreError,
  type StoreList,
  WATCH_RESPONSE_TIMEOUT_MS,
} from "../platform/mod.js";

/** Default of {@link StoreWatchOptions.batchDelayMs}. */
const BATCH_DELAY_MS = 500;

/**
 * The same delay shortly after the store has recovered, while expired entries are written again one
 * by one.
 */
const RECOVERY_BATCH_DELAY_MS = 100;

/** Time after a recovery in which the shorter delay applies, in milliseconds. */
const RECOVERY_MS = 3_000;

/**
 * Time reserved to fetch a change and to notify other boxes before it must take effect, in
 * milliseconds.
 */
const PROPAGATION_MS = 500;

/** Maximum wait of a watch that the store allows, in milliseconds. */
const MAX_WAIT_MS = 28_000;

/** Minimum wait of a watch, in milliseconds, to limit the number of calls. */
const MIN_WAIT_MS = 1_000;

/** Delays after consecutive failures, in milliseconds. */
const BACKOFF_MS = [100, 250, 500] as const;

/** Wait of a watch while the store is unreachable, in milliseconds. */
const PROBE_WAIT_MS = 100;

/**
 * Timeouts of a list, and of a watch while the store is unreachable, in milliseconds, by
 * consecutive failures. They are short, as a call that started during an outage may never be
 * answered; every fourth is longer, in case the store is slow.
 */
const PROBE_TIMEOUTS_MS = [700, 700, 700, STORE_RESPONSE_TIMEOUT_MS] as const;

/** Maximum delay before the next list, in milliseconds. */
const MAX_LIST_DELAY_MS = 250;

/** Limits from which the wait of a watch is computed. */
export interface StoreWatchTerms {
  /** Time after the end of an outage within which a box must have recovered, in milliseconds. */
  readonly recoveryDeadlineMs: number;
  /** Time within which a change must take effect, in milliseconds. */
  readonly changeDeadlineMs: number;
}

/**
 * Computes how long a watch may wait. A dropped connection is detected only after the wait and the
 * answer timeout of the watch. A change that happens just after the drop must still take effect in
 * time, or at the latest when the box must have recovered.
 *
 * @param terms - Limits that apply.
 * @returns The wait, in milliseconds.
 */
export function watchWaitMs({ recoveryDeadlineMs, changeDeadlineMs }: StoreWatchTerms): number {
  const dueMs = Math.max(recoveryDeadlineMs, changeDeadlineMs);
  const maxWaitMs = dueMs - WATCH_RESPONSE_TIMEOUT_MS - BACKOFF_MS[0] - PROPAGATION_MS;
  return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, maxWaitMs));
}

/** A call to the store that failed. */
export interface FailedStoreCall {
  readonly error: StoreError;
  /** Duration of the call, in milliseconds. */
  readonly tookMs: number;
  /** Number of consecutive failures, including this one. */
  readonly failures: number;
}

/** Callbacks for the events of a watch. */
export interface StoreWatchListener {
  /** Called with all objects after a list. */
  onList(list: StoreList): void;
  /** Called with changes. */
  onChanges(changes: StoreChanges): void;
  /**
   * Called after a watch without changes.
   *
   * @param revision - Position up to which nothing has changed.
   */
  onUnchanged?(revision: StorePosition): void;
  /** Called for each answer of the store, including those without changes. */
  onAnswer(): void;
  /**
   * Called when the history since the last revision was compacted, before all objects are listed
   * again.
   */
  onHistoryCompacted(): void;
  /** Called for each failed call; after the first, the store counts as unreachable. */
  onFailed(failed: FailedStoreCall): void;
  /** Called when the store is reachable again. */
  onRecovered(): void;
}

/** Options of a store watch. */
export interface StoreWatchOptions {
  readonly store: Pick<StoreClient, "list" | "watch">;
  /** Kind of object to watch. */
  readonly kind: string;
  /** Maximum time for which a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  /** Whether the first list may be stale; the watch that follows updates it. */
  readonly mayBeStale: boolean;
  /**
   * Delay after a watch that returned changes, in milliseconds, to batch close changes into one
   * charged call; 500 by default.
   */
  readonly batchDelayMs?: number;
}

/** Watches one kind of object until it is stopped. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #listener: StoreWatchListener;
  #stopped = false;
  #revision: number | undefined;
  #failures = 0;
  #hasListed = false;
  #recoveryEndMs = 0;
  #isActive = true;
  #calledAtMs = 0;
  #wake: () => void = () => undefined;

  /**
   * @param options - Options of the watch.
   * @param listener - Callbacks for events.
   */
  constructor(options: StoreWatchOptions, listener: StoreWatchListener) {
    this.#options = options;
    this.#listener = listener;
  }

  /** Watches until `stop()` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (!this.#isActive) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      this.#calledAtMs = nowMs();
      const delayMs = this.#revision === undefined ? await this.#list() : await this.#watch();
      if (delayMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, delayMs));
      }
    }
  }

  /** Stops the watch after the call in progress. */
  stop(): void {
    this.#stopped = true;
    this.#wake();
  }

  /** Pauses the watch after the call in progress. */
  pause(): void {
    this.#isActive = false;
    this.#failures = 0;
  }

  /**
   * Resumes the watch.
   *
   * @param revision - Revision that was received from elsewhere meanwhile; 0 for none.
   */
  resume(revision: number): void {
    if (revision > (this.#revision ?? 0)) {
      this.#revision = revision;
    }
    this.#isActive = true;
    this.#wake();
  }

  async #list(): Promise<number> {
    const { store, kind, mayBeStale } = this.#options;
    // Only the first list may be stale: after a compaction it must contain the missed changes.
    const list = await store.list(kind, {
      mayBeStale: mayBeStale && !this.#hasListed,
      answerMs: this.#probeTimeoutMs(),
    });
    if (list.isErr()) {
      return Math.min(MAX_LIST_DELAY_MS, this.#fail(list.error));
    }
    this.#recover();
    this.#hasListed = true;
    this.#revision = list.value.revision;
    this.#listener.onList(list.value);
    return 0;
  }

  async #watch(): Promise<number> {
    const { store, kind, waitMs } = this.#options;
    const sinceRevision = this.#revision ?? 0;
    const limits =
      this.#failures === 0
        ? { waitMs, answerMs: WATCH_RESPONSE_TIMEOUT_MS }
        : { waitMs: PROBE_WAIT_MS, answerMs: this.#probeTimeoutMs() - PROBE_WAIT_MS };
    const changes = await store.watch(kind, { sinceRevision, ...limits });
    if (changes.isErr()) {
      if (changes.error.kind === "historyGone") {
        this.#revision = undefined;
        this.#listener.onHistoryCompacted();
        return 0;
      }
      return this.#fail(changes.error);
    }
    this.#recover();
    this.#revision = changes.value.revision;
    const { changed, removed } = changes.value;
    if (changed.length + removed.length === 0) {
      this.#listener.onUnchanged?.(changes.value.revision);
      return 0;
    }
    this.#listener.onChanges(changes.value);
    const { batchDelayMs = BATCH_DELAY_MS } = this.#options;
    const isRecovering = nowMs() < this.#recoveryEndMs;
    return isRecovering ? Math.min(RECOVERY_BATCH_DELAY_MS, batchDelayMs) : batchDelayMs;
  }

  #probeTimeoutMs(): number {
    return (
      PROBE_TIMEOUTS_MS[this.#failures % PROBE_TIMEOUTS_MS.length] ?? STORE_RESPONSE_TIMEOUT_MS
    );
  }

  #fail(error: StoreError): number {
    this.#failures += 1;
    const tookMs = Math.round(nowMs() - this.#calledAtMs);
    this.#listener.onFailed({ error, tookMs, failures: this.#failures });
    return BACKOFF_MS[Math.min(this.#failures, BACKOFF_MS.length) - 1] ?? BATCH_DELAY_MS;
  }

  #recover(): void {
    this.#listener.onAnswer();
    if (this.#failures > 0) {
      this.#failures = 0;
      this.#recoveryEndMs = nowMs() + RECOVERY_MS;
      this.#listener.onRecovered();
    }
  }
}
