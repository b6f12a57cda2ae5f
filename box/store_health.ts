/**
 * Whether the store can be heard, and how long entries that are gone may come back after it was away.
 *
 * @module
 */
import type { BoxTelemetry } from "./box_telemetry.js";
import type { RegistryListener } from "./registry_watch.js";

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
  readonly telemetry: Pick<BoxTelemetry, "event">;
  readonly nowMs: () => number;
}

/** Health of the store as this box sees it. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  /** Kinds whose watch has lost the store. */
  readonly #lost = new Set<string>();
  #regainedAtMs = -Infinity;
  #heardAtMs = -Infinity;

  /**
   * @param options - What the health is made from.
   */
  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the store can be heard. */
  get isHeard(): boolean {
    return this.#lost.size === 0;
  }

  /** When news last came, from the store or as `noteHeard()` was told; minus infinity before. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Time that an entry which is gone has to come back, in milliseconds; 0 for none. */
  get graceMs(): number {
    const sinceReturnMs = this.#options.nowMs() - this.#regainedAtMs;
    return !this.isHeard || sinceReturnMs < RETURN_MS ? REAPPEAR_MS : 0;
  }

  /** Notes news that came by another way. */
  noteHeard(): void {
    this.#heardAtMs = this.#options.nowMs();
  }

  /**
   * Says that a kind is not watched any more, so that its watch tells nothing of the store.
   *
   * @param kind - The kind.
   */
  forget(kind: string): void {
    this.#lost.delete(kind);
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
    handlers: Pick<RegistryListener, "onList" | "onChanges">,
  ): RegistryListener {
    const { telemetry, nowMs } = this.#options;
    return {
      ...handlers,
      onHeard: () => this.noteHeard(),
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
}
