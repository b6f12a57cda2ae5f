/**
 * Tracks whether the store is reachable, and how long missing entries may reappear after an outage.
 *
 * @module
 */
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { FailedStoreCall, StoreWatchListener } from "./store_watch.js";

/** Time in which the entry of a leaf may reappear after an outage of the store, in milliseconds. */
const GRACE_MS = 2_000;

/**
 * Time after a recovery of the store in which missing entries count as expired, in milliseconds.
 */
const RECOVERY_MS = 2_500;

/** Options of the store health. */
export interface StoreHealthOptions {
  readonly telemetry: Pick<BoxTelemetry, "event" | "storeAnswers">;
  readonly nowMs: () => number;
}

/** Health of the store from the view of this box. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  /** Kinds whose watch cannot reach the store. */
  readonly #unreachable = new Set<string>();
  /** Time of the store's last answer by kind, on this box's clock. */
  readonly #answeredAtMs = new Map<string, number>();
  #recoveredAtMs = -Infinity;
  #lastUpdateAtMs = -Infinity;

  /**
   * @param options - Options of the health.
   */
  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the store is reachable for all watched kinds. */
  get isReachable(): boolean {
    return this.#unreachable.size === 0;
  }

  /**
   * Time of the last update, from the store or by `recordUpdate()`; negative infinity before the
   * first.
   */
  get lastUpdateAtMs(): number {
    return this.#lastUpdateAtMs;
  }

  /** Time in which a missing entry may reappear, in milliseconds; 0 if it may not. */
  get graceMs(): number {
    const sinceRecoveryMs = this.#options.nowMs() - this.#recoveredAtMs;
    return !this.isReachable || sinceRecoveryMs < RECOVERY_MS ? GRACE_MS : 0;
  }

  /**
   * Returns the age of the store's last answer by kind, as some kinds may be reachable while others
   * are not.
   *
   * @returns The ages, in milliseconds.
   */
  answeredAgoMs(): ReadonlyMap<string, number> {
    const nowMs = this.#options.nowMs();
    const entries = [...this.#answeredAtMs];
    return new Map(entries.map(([kind, atMs]) => [kind, Math.round(nowMs - atMs)]));
  }

  /** Records an update that was received from elsewhere. */
  recordUpdate(): void {
    this.#lastUpdateAtMs = this.#options.nowMs();
  }

  /** Records a recovery of the store: missing entries may reappear for the grace period. */
  recordRecovery(): void {
    this.#recoveredAtMs = this.#options.nowMs();
  }

  /**
   * Discards the state of a kind that is no longer watched.
   *
   * @param kind - Kind of object.
   */
  forget(kind: string): void {
    this.#unreachable.delete(kind);
    this.#answeredAtMs.delete(kind);
  }

  /**
   * Creates the listener of a watch, which records and logs the reachability of the store.
   *
   * @param kind - Kind of object that is watched.
   * @param handlers - Callbacks for the objects themselves.
   * @returns The listener.
   */
  listener(
    kind: string,
    handlers: Pick<StoreWatchListener, "onList" | "onChanges" | "onUnchanged">,
  ): StoreWatchListener {
    const { telemetry, nowMs } = this.#options;
    return {
      ...handlers,
      onAnswer: () => {
        this.recordUpdate();
        this.#answeredAtMs.set(kind, nowMs());
        telemetry.storeAnswers.inc({ kind, outcome: "answered" });
      },
      onFailed: (failed) => this.#recordFailure(kind, failed),
      onHistoryCompacted: () =>
        telemetry.event("warn", "store: history compacted, listing again", { kind }),
      onRecovered: () => {
        this.#unreachable.delete(kind);
        this.#recoveredAtMs = nowMs();
        telemetry.event("info", "store: reachable again", { kind });
      },
    };
  }

  #recordFailure(kind: string, { error, tookMs, failures }: FailedStoreCall): void {
    const { telemetry } = this.#options;
    telemetry.storeAnswers.inc({ kind, outcome: error.kind });
    this.#unreachable.add(kind);
    const answeredAgoMs = this.answeredAgoMs().get(kind) ?? null;
    const fields = { kind, tookMs, failures, answeredAgoMs, reason: error.message };
    const message = failures === 1 ? "store: unreachable" : "store: still unreachable";
    telemetry.event("warn", message, fields);
  }
}
