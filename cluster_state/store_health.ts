/**
 * Whether the store can be heard, and how long entries that are gone may come back after it was away.
 *
 * @module
 */
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { FailedStoreCall, StoreWatchListener } from "./store_watch.js";

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

/** What the health is made from. */
export interface StoreHealthOptions {
  readonly telemetry: Pick<BoxTelemetry, "event" | "storeAnswers">;
  readonly nowMs: () => number;
}

/** Health of the store as this box sees it. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  /** Kinds whose watch has lost the store. */
  readonly #lost = new Set<string>();
  /** When the store last answered for a kind, on this box's clock. */
  readonly #answeredAtMs = new Map<string, number>();
  #regainedAtMs = -Infinity;
  #heardAtMs = -Infinity;

  /**
   * @param options - What the health is made from.
   */
  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the store can be heard. */
  get isReachable(): boolean {
    return this.#lost.size === 0;
  }

  /** When news last came, from the store or as `noteHeard()` was told; minus infinity before. */
  get lastUpdateAtMs(): number {
    return this.#heardAtMs;
  }

  /** Time that an entry which is gone has to come back, in milliseconds; 0 for none. */
  get graceMs(): number {
    const sinceReturnMs = this.#options.nowMs() - this.#regainedAtMs;
    return !this.isReachable || sinceReturnMs < RETURN_MS ? REAPPEAR_MS : 0;
  }

  /**
   * Tells how old the store's last word is, by kind: one kind may be heard while another is not.
   *
   * @returns The age in milliseconds, by kind.
   */
  answeredAgoMs(): ReadonlyMap<string, number> {
    const nowMs = this.#options.nowMs();
    const entries = [...this.#answeredAtMs];
    return new Map(entries.map(([kind, atMs]) => [kind, Math.round(nowMs - atMs)]));
  }

  /** Notes news that came by another way. */
  recordUpdate(): void {
    this.#heardAtMs = this.#options.nowMs();
  }

  /** Says that the store is back: entries that it lacks have the usual time to come back. */
  recordRecovery(): void {
    this.#regainedAtMs = this.#options.nowMs();
  }

  /**
   * Says that a kind is not watched any more, so that its watch tells nothing of the store.
   *
   * @param kind - The kind.
   */
  forget(kind: string): void {
    this.#lost.delete(kind);
    this.#answeredAtMs.delete(kind);
  }

  /**
   * Makes the listener of a watch: what it hears of the store is noted here and logged.
   *
   * @param kind - Kind that is watched.
   * @param handlers - Where the news itself goes.
   * @returns The listener.
   */
  listener(
    kind: string,
    handlers: Pick<StoreWatchListener, "onList" | "onChanges">,
  ): StoreWatchListener {
    const { telemetry, nowMs } = this.#options;
    return {
      ...handlers,
      onAnswer: () => {
        this.recordUpdate();
        this.#answeredAtMs.set(kind, nowMs());
        telemetry.storeAnswers.inc({ kind, outcome: "answered" });
      },
      onFailed: (failed) => this.#noteFailed(kind, failed),
      onHistoryCompacted: () =>
        telemetry.event("warn", "store: history gone, listing anew", { kind }),
      onRecovered: () => {
        this.#lost.delete(kind);
        this.#regainedAtMs = nowMs();
        telemetry.event("info", "store: regained", { kind });
      },
    };
  }

  #noteFailed(kind: string, { error, tookMs, failures }: FailedStoreCall): void {
    const { telemetry } = this.#options;
    telemetry.storeAnswers.inc({ kind, outcome: error.kind });
    this.#lost.add(kind);
    const answeredAgoMs = this.answeredAgoMs().get(kind) ?? null;
    const fields = { kind, tookMs, failures, answeredAgoMs, reason: error.message };
    const sentence = failures === 1 ? "store: lost" : "store: still not heard";
    telemetry.event("warn", sentence, fields);
  }
}
