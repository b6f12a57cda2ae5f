/**
 * Watches the platform: reads the box list and long-polls for changed objects, in turn.
 *
 * @module
 */
import type { ControlEvent } from "../control/mod.js";
import type { BoxList } from "../model/mod.js";
import type { CatalogChanges, PlatformPort } from "../platform/mod.js";

/** Time for which the platform holds a long poll without changes, in milliseconds. */
const LONG_POLL_MS = 2_000;

/** Minimum delay between polls, in milliseconds, so that immediate answers cause no busy loop. */
const MIN_POLL_INTERVAL_MS = 100;

/**
 * Delays after consecutive failures, in milliseconds; the last one repeats. They are short, as
 * changes must be applied within 4 s.
 */
const RETRY_DELAYS_MS = [200, 500, 1_000] as const;

/** Options of {@linkcode PlatformWatch}. */
export interface PlatformWatchOptions {
  readonly send: (event: ControlEvent) => void;
  readonly nowMs: () => number;
}

/** Sends changes of the platform's objects and box list to the core while enabled. */
export class PlatformWatch {
  readonly #platform: PlatformPort;
  readonly #options: PlatformWatchOptions;
  #enabled = false;
  #running = false;
  #sinceVersion = 0;
  #hasListed = false;

  /**
   * @param platform - The platform.
   * @param options - Event sink and clock.
   */
  constructor(platform: PlatformPort, options: PlatformWatchOptions) {
    this.#platform = platform;
    this.#options = options;
  }

  /**
   * Enables or disables the watch. A request in progress is not aborted.
   *
   * @param enabled - Whether to watch.
   */
  enable(enabled: boolean): void {
    this.#enabled = enabled;
    if (enabled && !this.#running) {
      this.#running = true;
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    let failures = 0;
    while (this.#enabled) {
      const failed = await this.#poll();
      failures = failed ? failures + 1 : 0;
      const delayMs =
        RETRY_DELAYS_MS[Math.min(failures, RETRY_DELAYS_MS.length) - 1] ?? MIN_POLL_INTERVAL_MS;
      await new Promise((resolve) => setTimeout(resolve, delayMs).unref());
    }
    this.#running = false;
  }

  /** Polls the platform once. Returns whether it failed. */
  async #poll(): Promise<boolean> {
    const waitMs = this.#hasListed ? LONG_POLL_MS : 0;
    const boxList = await this.#platform.readBoxList();
    if (boxList.isErr()) {
      return this.#sendFailure(boxList.error.message);
    }
    this.#sendChanges({ version: this.#sinceVersion, objects: [] }, boxList.value);
    const changes = await this.#platform.listChanges({ sinceVersion: this.#sinceVersion, waitMs });
    if (changes.isErr()) {
      return this.#sendFailure(changes.error.message);
    }
    this.#hasListed = true;
    this.#sendChanges(changes.value, undefined);
    return false;
  }

  #sendChanges(changes: CatalogChanges, boxList: BoxList | undefined): void {
    // A store that was reset to an older state has a lower version; list all objects again.
    const wasReset = changes.version < this.#sinceVersion;
    this.#sinceVersion = wasReset ? 0 : changes.version;
    this.#hasListed = this.#hasListed && !wasReset;
    this.#options.send({
      kind: "platformAnswered",
      nowMs: this.#options.nowMs(),
      objects: changes.objects,
      boxList,
      complete: boxList === undefined,
    });
  }

  #sendFailure(message: string): boolean {
    this.#options.send({ kind: "platformFailed", nowMs: this.#options.nowMs(), message });
    return true;
  }
}
