/**
 * The platform in virtual time: versions, conditional writes, outages, lost replies and stale reads.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { BoxList, CatalogObject } from "../model/mod.js";
import type { PlatformError, PlatformPort, VersionedObject } from "../platform/mod.js";
import type { Schedule } from "../virtual_time/mod.js";

interface HistoryEntry {
  readonly key: string;
  readonly version: number;
  readonly object: CatalogObject;
}

const UNCLEAR: PlatformError = { kind: "unclear", message: "Outcome unknown: no response" };
const UNREACHABLE: PlatformError = {
  kind: "unreachable",
  message: "Cannot connect: connection refused",
};

/** A simulated platform. */
export class FakePlatform {
  readonly #schedule: Schedule;
  #history: ReadonlyArray<HistoryEntry> = [];
  #boxLists: ReadonlyArray<{ readonly atMs: number; readonly list: BoxList }> = [];
  /** Active faults. */
  faults = { down: false, slowMs: 0, lostReplies: 0, lostWrites: 0, staleVersions: 0, boxLagMs: 0 };
  /** Number of faults that occurred, by kind. */
  readonly eventCounts: Record<string, number> = {};

  /**
   * @param schedule - Virtual time.
   */
  constructor(schedule: Schedule) {
    this.#schedule = schedule;
  }

  /** All writes that took effect, oldest first. */
  get history(): ReadonlyArray<HistoryEntry> {
    return this.#history;
  }

  /** Current version of the store. */
  get version(): number {
    return this.#history.at(-1)?.version ?? 0;
  }

  /**
   * Sets the box list; readers receive it late while `faults.boxLagMs` is set.
   *
   * @param boxes - The boxes.
   */
  setBoxes(boxes: BoxList["boxes"]): void {
    const version = this.#boxLists.length + 1;
    const list = { version, boxes };
    this.#boxLists = [...this.#boxLists, { atMs: this.#schedule.nowMs, list }];
  }

  /** Returns the box list that a reader receives now. */
  boxList(): BoxList {
    const asOfMs = this.#schedule.nowMs - this.faults.boxLagMs;
    const visible = this.#boxLists.findLast((each) => each.atMs <= asOfMs);
    return (visible ?? this.#boxLists[0])?.list ?? { version: 1, boxes: [] };
  }

  /** Returns all objects, of an older version while `faults.staleVersions` is set. */
  objects(): ReadonlyArray<CatalogObject> {
    const asOfVersion = this.version - this.faults.staleVersions;
    if (this.faults.staleVersions > 0) {
      this.#countEvent("old read");
    }
    const latest = new Map(
      this.#history
        .filter((each) => each.version <= asOfVersion)
        .map((each) => [each.key, each.object]),
    );
    return [...latest.values()];
  }

  /** Returns the port through which objects are submitted. */
  port(): PlatformPort {
    return {
      listChanges: () =>
        this.#respond(() => ok({ version: this.version, objects: this.objects() })),
      readBoxList: () => this.#respond(() => ok(this.boxList())),
      readObject: (key) => this.#respond(() => ok(this.#read(key))),
      writeObject: (key, object, { expectedVersion }) =>
        this.#respond(() => this.#write({ key, object, expectedVersion })),
    };
  }

  #read(key: string): VersionedObject {
    const stored = this.#history.findLast((each) => each.key === key);
    return { version: stored?.version ?? 0, object: stored?.object };
  }

  #write({ key, object, expectedVersion }: WriteOptions): Result<number, PlatformError> {
    if (this.faults.lostWrites > 0) {
      this.faults.lostWrites -= 1;
      this.#countEvent("lost write");
      return err(UNCLEAR);
    }
    if (this.#read(key).version !== expectedVersion) {
      this.#countEvent("write conflict");
      return err({ kind: "conflict", message: "Cannot write: the object has changed" });
    }
    const version = this.version + 1;
    this.#history = [...this.#history, { key, version, object }];
    if (this.faults.lostReplies > 0) {
      this.faults.lostReplies -= 1;
      this.#countEvent("lost reply");
      return err(UNCLEAR);
    }
    return ok(version);
  }

  #respond<T>(handle: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    const delayMs = this.#schedule.int(1, 5) + this.faults.slowMs;
    return new ResultAsync(
      new Promise((resolve) => {
        this.#schedule.after(delayMs, () => {
          if (this.faults.down) {
            this.#countEvent("call in outage");
          }
          resolve(this.faults.down ? err(UNREACHABLE) : handle());
        });
      }),
    );
  }

  #countEvent(kind: string): void {
    this.eventCounts[kind] = (this.eventCounts[kind] ?? 0) + 1;
  }
}

interface WriteOptions {
  readonly key: string;
  readonly object: CatalogObject;
  readonly expectedVersion: number;
}
