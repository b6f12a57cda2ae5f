/**
 * The platform in virtual time: versions, conditional writes, outages, lost replies, old reads.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { BoxList, CatalogObject } from "../model/mod.js";
import type { PlatformError, PlatformPort, VersionedObject } from "../platform/mod.js";
import type { Schedule } from "../virtual_time/mod.js";

interface Stored {
  readonly key: string;
  readonly version: number;
  readonly object: CatalogObject;
}

const UNCLEAR: PlatformError = { kind: "unclear", message: "Cannot tell: no answer" };
const UNREACHABLE: PlatformError = { kind: "unreachable", message: "Cannot reach: refused" };

/** The platform. */
export class FakePlatform {
  readonly #schedule: Schedule;
  #history: ReadonlyArray<Stored> = [];
  #boxLists: ReadonlyArray<{ readonly atMs: number; readonly list: BoxList }> = [];
  /** Faults in force. */
  faults = { down: false, slowMs: 0, loseReply: 0, loseWrite: 0, staleVersions: 0, boxLagMs: 0 };
  /** Faults that occurred. */
  readonly occurred: Record<string, number> = {};

  /**
   * @param schedule - Virtual time.
   */
  constructor(schedule: Schedule) {
    this.#schedule = schedule;
  }

  /** Every write that took effect, oldest first. */
  get history(): ReadonlyArray<Stored> {
    return this.#history;
  }

  /** Version of the whole store. */
  get version(): number {
    return this.#history.at(-1)?.version ?? 0;
  }

  /**
   * Sets the true box list; readers see it late while it lags.
   *
   * @param boxes - The boxes.
   */
  setBoxes(boxes: BoxList["boxes"]): void {
    const version = this.#boxLists.length + 1;
    const list = { version, boxes };
    this.#boxLists = [...this.#boxLists, { atMs: this.#schedule.nowMs, list }];
  }

  /** Reads the box list as it is told now. */
  boxList(): BoxList {
    const upToMs = this.#schedule.nowMs - this.faults.boxLagMs;
    const seen = this.#boxLists.findLast((each) => each.atMs <= upToMs);
    return (seen ?? this.#boxLists[0])?.list ?? { version: 1, boxes: [] };
  }

  /** Reads all objects, from an old version while reads lag. */
  objects(): ReadonlyArray<CatalogObject> {
    const upTo = this.version - this.faults.staleVersions;
    if (this.faults.staleVersions > 0) {
      this.#note("old read");
    }
    const latest = new Map(
      this.#history.filter((each) => each.version <= upTo).map((each) => [each.key, each.object]),
    );
    return [...latest.values()];
  }

  /** The platform as a submission sees it. */
  port(): PlatformPort {
    return {
      listChanges: () => this.#answer(() => ok({ version: this.version, objects: this.objects() })),
      readBoxList: () => this.#answer(() => ok(this.boxList())),
      readObject: (key) => this.#answer(() => ok(this.#read(key))),
      writeObject: (key, object, { expectedVersion }) =>
        this.#answer(() => this.#write({ key, object, expectedVersion })),
    };
  }

  #read(key: string): VersionedObject {
    const stored = this.#history.findLast((each) => each.key === key);
    return { version: stored?.version ?? 0, object: stored?.object };
  }

  #write({ key, object, expectedVersion }: WriteOptions): Result<number, PlatformError> {
    if (this.faults.loseWrite > 0) {
      this.faults.loseWrite -= 1;
      this.#note("lost write");
      return err(UNCLEAR);
    }
    if (this.#read(key).version !== expectedVersion) {
      this.#note("write conflict");
      return err({ kind: "conflict", message: "Cannot write: changed" });
    }
    const version = this.version + 1;
    this.#history = [...this.#history, { key, version, object }];
    if (this.faults.loseReply > 0) {
      this.faults.loseReply -= 1;
      this.#note("lost reply");
      return err(UNCLEAR);
    }
    return ok(version);
  }

  #answer<T>(act: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    const delayMs = this.#schedule.int(1, 5) + this.faults.slowMs;
    return new ResultAsync(
      new Promise((resolve) => {
        this.#schedule.after(delayMs, () => {
          if (this.faults.down) {
            this.#note("call in outage");
          }
          resolve(this.faults.down ? err(UNREACHABLE) : act());
        });
      }),
    );
  }

  #note(kind: string): void {
    this.occurred[kind] = (this.occurred[kind] ?? 0) + 1;
  }
}

interface WriteOptions {
  readonly key: string;
  readonly object: CatalogObject;
  readonly expectedVersion: number;
}
