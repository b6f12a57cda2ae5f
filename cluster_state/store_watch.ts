/**
 * Keeps up with one kind of object in the platform's store: a list, then watches from there on.
 *
 * @module
 */
import { nowMs } from "../clock/mod.js";
import {
  STORE_RESPONSE_TIMEOUT_MS,
  type StoreChanges,
  type StoreClient,
  type StoreError,
  type StoreList,
  WATCH_RESPONSE_TIMEOUT_MS,
} from "../platform/mod.js";

/**
 * Pause after a watch that brought changes, in milliseconds: changes that come close together share
 * the next call, as each has its price. Well below the time in which changes must be in force.
 */
const GATHER_MS = 500;

/**
 * The same just after the store is heard again: entries that lapsed come back one after the other
 * then, and each is missed.
 */
const SETTLE_GATHER_MS = 100;

/** Time for which that holds, in milliseconds. */
const SETTLE_MS = 3_000;

/**
 * Kept in hand between the latest moment at which a change is heard and the one it is due, in
 * milliseconds: for the call that hears it and for telling the other boxes.
 */
const SLACK_MS = 500;

/** Longest time that the store lets a watch wait, in milliseconds. */
const MOST_WAIT_MS = 28_000;

/** Shortest time that a watch waits, in milliseconds; less would only make calls. */
const LEAST_WAIT_MS = 1_000;

/** Pauses after failures in a row, in milliseconds. */
const BACKOFF_MS = [100, 250, 500] as const;

/** Time that a watch waits for a change while the store is lost, in milliseconds. */
const LOOK_WAIT_MS = 100;

/**
 * Times that the store has for its answer to a list, and to a watch while it is lost, in milliseconds,
 * by failures in a row. A call that began while the store was silent is not answered after its return,
 * so that it must be given up soon to find the store within 2 s; every fourth waits longer, in case
 * the store is slow.
 */
const LOOK_ANSWERS_MS = [700, 700, 700, STORE_RESPONSE_TIMEOUT_MS] as const;

/** Longest pause before the next list, in milliseconds. */
const MOST_LIST_PAUSE_MS = 250;

/** What the length of a watch depends on. */
export interface StoreWatchTerms {
  /** Time after the end of a disturbance from which a box must act in time again, in milliseconds. */
  readonly recoveryDeadlineMs: number;
  /** Time in which a box must act on a change, in milliseconds. */
  readonly changeDeadlineMs: number;
}

/**
 * Works out how long a watch may wait. One whose connection goes silent is noticed only when its time
 * and the time for an answer have passed. It may have begun just before, and a change may come just
 * after: that is due after `newsDueMs`, or when the box must act in time again where that is later.
 * Reckoned with the sum of both, a change was in force on no box for 5.4 s.
 *
 * @param terms - What it depends on.
 * @returns The time, in milliseconds.
 */
export function watchWaitMs({
  recoveryDeadlineMs: soundAfterMs,
  changeDeadlineMs: newsDueMs,
}: StoreWatchTerms): number {
  const dueMs = Math.max(soundAfterMs, newsDueMs);
  const mostMs = dueMs - WATCH_RESPONSE_TIMEOUT_MS - BACKOFF_MS[0] - SLACK_MS;
  return Math.min(MOST_WAIT_MS, Math.max(LEAST_WAIT_MS, mostMs));
}

/** A call to the store that failed. */
export interface FailedStoreCall {
  readonly error: StoreError;
  /** Time from its beginning to its failure, in milliseconds: tells a call that waited from one refused. */
  readonly tookMs: number;
  /** Failures in a row, this one included. */
  readonly failures: number;
}

/** Where the news of a kind goes. */
export interface StoreWatchListener {
  /** Told of all objects after a list. */
  onList(list: StoreList): void;
  /** Told of changes. */
  onChanges(changes: StoreChanges): void;
  /** Told with each answer of the store, also one without a change. */
  onAnswer(): void;
  /** Told when changes were missed, so that all is listed anew. */
  onHistoryCompacted(): void;
  /** Told of each call that failed; after the first the store counts as lost. */
  onFailed(failed: FailedStoreCall): void;
  /** Told when the store can be heard again. */
  onRecovered(): void;
}

/** What is watched. */
export interface StoreWatchOptions {
  readonly store: Pick<StoreClient, "list" | "watch">;
  readonly kind: string;
  /** Longest time that a watch waits for a change, in milliseconds. */
  readonly waitMs: number;
  /** Whether the first list may be seconds old; the watch that follows brings it up to date. */
  readonly mayBeStale: boolean;
}

/** Watches one kind until it is stopped. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  readonly #listener: StoreWatchListener;
  #stopped = false;
  #revision: number | undefined;
  #failures = 0;
  #hasListed = false;
  #settledAtMs = 0;
  #isWanted = true;
  #askedAtMs = 0;
  #onWanted: () => void = () => undefined;

  /**
   * @param options - What is watched.
   * @param listener - Where its news goes.
   */
  constructor(options: StoreWatchOptions, listener: StoreWatchListener) {
    this.#options = options;
    this.#listener = listener;
  }

  /** Watches until `stop()` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (!this.#isWanted) {
        await new Promise<void>((resolve) => {
          this.#onWanted = resolve;
        });
        continue;
      }
      this.#askedAtMs = nowMs();
      const pauseMs = this.#revision === undefined ? await this.#list() : await this.#watch();
      if (pauseMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
      }
    }
  }

  /** Ends the watch after the call under way. */
  stop(): void {
    this.#stopped = true;
    this.#onWanted();
  }

  /** Makes no more calls after the one under way, until it is resumed. */
  pause(): void {
    this.#isWanted = false;
    this.#failures = 0;
  }

  /**
   * Goes on watching.
   *
   * @param revision - Revision that was reached by other ways meanwhile; 0 for none.
   */
  resume(revision: number): void {
    if (revision > (this.#revision ?? 0)) {
      this.#revision = revision;
    }
    this.#isWanted = true;
    this.#onWanted();
  }

  async #list(): Promise<number> {
    const { store, kind, mayBeStale } = this.#options;
    // Only the first list may be old: one after the history was lost must hold what the gap hid.
    const list = await store.list(kind, {
      mayBeStale: mayBeStale && !this.#hasListed,
      answerMs: this.#lookAnswerMs(),
    });
    if (list.isErr()) {
      return Math.min(MOST_LIST_PAUSE_MS, this.#fail(list.error));
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
    const patience =
      this.#failures === 0
        ? { waitMs, answerMs: WATCH_RESPONSE_TIMEOUT_MS }
        : { waitMs: LOOK_WAIT_MS, answerMs: this.#lookAnswerMs() - LOOK_WAIT_MS };
    const changes = await store.watch(kind, { sinceRevision, ...patience });
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
      return 0;
    }
    this.#listener.onChanges(changes.value);
    return nowMs() < this.#settledAtMs ? SETTLE_GATHER_MS : GATHER_MS;
  }

  #lookAnswerMs(): number {
    return LOOK_ANSWERS_MS[this.#failures % LOOK_ANSWERS_MS.length] ?? STORE_RESPONSE_TIMEOUT_MS;
  }

  #fail(error: StoreError): number {
    this.#failures += 1;
    const tookMs = Math.round(nowMs() - this.#askedAtMs);
    this.#listener.onFailed({ error, tookMs, failures: this.#failures });
    return BACKOFF_MS[Math.min(this.#failures, BACKOFF_MS.length) - 1] ?? GATHER_MS;
  }

  #recover(): void {
    this.#listener.onAnswer();
    if (this.#failures > 0) {
      this.#failures = 0;
      this.#settledAtMs = nowMs() + SETTLE_MS;
      this.#listener.onRecovered();
    }
  }
}
