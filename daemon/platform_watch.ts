/**
 * Watches the platform: one waiting call for changes and a look at the box list now and then.
 *
 * @module
 */
import type { ControlEvent } from "../control/mod.js";
import type { BoxList } from "../model/mod.js";
import type { CatalogChanges, PlatformPort } from "../platform/mod.js";

/** Time a waiting call is held by the platform, in milliseconds. */
const WATCH_MS = 2_000;

/** Least time between two looks, so that no answer makes the watch spin, in milliseconds. */
const LOOK_EVERY_MS = 100;

/**
 * Waits after failures in a row, in milliseconds. A look at a store that is still silent takes 1.5 s more,
 * and changes are to be in force 4 s after they are taken.
 */
const BACKOFF_MS = [200, 500, 1_000] as const;

/** What the watch needs. */
export interface PlatformWatchOptions {
  readonly send: (event: ControlEvent) => void;
  readonly nowMs: () => number;
}

/** A watch that can be turned on and off. */
export class PlatformWatch {
  readonly #platform: PlatformPort;
  readonly #options: PlatformWatchOptions;
  #enabled = false;
  #running = false;
  #sinceVersion = 0;
  #isListed = false;

  /**
   * @param platform - The platform.
   * @param options - Where its news goes.
   */
  constructor(platform: PlatformPort, options: PlatformWatchOptions) {
    this.#platform = platform;
    this.#options = options;
  }

  /**
   * Turns the watch on or off; a call under way is let end.
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
      const failed = await this.#round();
      failures = failed ? failures + 1 : 0;
      const backoffMs = BACKOFF_MS[Math.min(failures, BACKOFF_MS.length) - 1] ?? LOOK_EVERY_MS;
      await new Promise((resolve) => setTimeout(resolve, backoffMs).unref());
    }
    this.#running = false;
  }

  /** One look at the platform; tells whether it failed. */
  async #round(): Promise<boolean> {
    const waitMs = this.#isListed ? WATCH_MS : 0;
    const boxList = await this.#platform.readBoxList();
    if (boxList.isErr()) {
      return this.#fail(boxList.error.message);
    }
    this.#tell({ version: this.#sinceVersion, objects: [] }, boxList.value);
    const changes = await this.#platform.listChanges({ sinceVersion: this.#sinceVersion, waitMs });
    if (changes.isErr()) {
      return this.#fail(changes.error.message);
    }
    this.#isListed = true;
    this.#tell(changes.value, undefined);
    return false;
  }

  #tell(changes: CatalogChanges, boxList: BoxList | undefined): void {
    // A store that was set back counts from a lower version; all is asked for again then.
    const wasSetBack = changes.version < this.#sinceVersion;
    this.#sinceVersion = wasSetBack ? 0 : changes.version;
    this.#isListed = this.#isListed && !wasSetBack;
    this.#options.send({
      kind: "platformAnswered",
      nowMs: this.#options.nowMs(),
      objects: changes.objects,
      boxList,
      complete: boxList === undefined,
    });
  }

  #fail(message: string): boolean {
    this.#options.send({ kind: "platformFailed", nowMs: this.#options.nowMs(), message });
    return true;
  }
}
