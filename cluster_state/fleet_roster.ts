/**
 * The list of all boxes in the platform's store. Limits that all boxes share are divided by its
 * length, which does not depend on which other boxes a box can reach or has met yet.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { sumOfWeights } from "../fleet/mod.js";
import { DEAD_RETENTION_MS } from "../membership/mod.js";
import type { FleetSize } from "../model/mod.js";
import {
  decodeFleetEntry,
  FLEET_KIND,
  FLEET_NAME,
  type FleetEntry,
  type StoreClient,
  type StoreError,
  type StoreObject,
} from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Time after the start in which a box discovers its peers, in milliseconds. */
const PEER_DISCOVERY_MS = 1_000;

/**
 * Additional time for which each further box waits for the boxes before it to update the list, in
 * milliseconds.
 */
const RANK_DELAY_MS = 700;

/** Delay after a failed call to the store, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Time until the list is read again, in milliseconds; doubled each time up to the maximum. */
const REFRESH_DELAY_MS = { min: 5_000, max: 60_000 } as const;

/**
 * Time after its start from which a box removes boxes that it does not know, in milliseconds. By
 * then it has known each running box, and has remembered each dead one for as long as others.
 */
const MIN_REMOVAL_UPTIME_MS = DEAD_RETENTION_MS + 30_000;

/** Share of the listed boxes that must be running for others to be removed. */
const MIN_RUNNING_SHARE = 0.5;

/** Number of steps into which a unit of weight is divided. */
const WEIGHT_ROUNDING = 1_000;

/** Processor cores by box. */
type BoxCores = ReadonlyMap<string, number>;

/** Options of a fleet roster. */
export interface FleetRosterOptions {
  /** Name of this box. */
  readonly box: string;
  readonly store: Pick<StoreClient, "create" | "read" | "replace">;
  readonly nowMs: () => number;
  /** Returns the processor cores of the boxes that are not considered dead, including this one. */
  readonly runningBoxes: () => BoxCores;
  /** Returns the processor cores of all known boxes, including dead ones. */
  readonly knownBoxes: () => BoxCores;
  /** Returns the position of this box in the order in which boxes update the list; 0 is the first. */
  readonly rank: () => number;
  /** Returns the newest known size; `undefined` while it is unknown. */
  readonly size: () => FleetSize | undefined;
  /** Called with the size of the list that was read or written. */
  readonly onSize: (size: FleetSize) => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** The list of all boxes. */
export class FleetRoster {
  readonly #options: FleetRosterOptions;
  readonly #startedAtMs: number;
  /** Since when the known size does not cover all running boxes; `undefined` if it does. */
  #incompleteSinceMs: number | undefined;
  #refreshDelayMs: number = REFRESH_DELAY_MS.min;
  #refreshAtMs: number;
  #retryAtMs = 0;
  #isUpdating = false;

  /**
   * @param options - Dependencies of the roster.
   */
  constructor(options: FleetRosterOptions) {
    this.#options = options;
    this.#startedAtMs = options.nowMs();
    this.#refreshAtMs = this.#startedAtMs + REFRESH_DELAY_MS.min;
  }

  /** Updates the list if that is due. */
  check(): void {
    const nowMs = this.#options.nowMs();
    if (this.#isUpdating || nowMs < this.#retryAtMs) {
      return;
    }
    const isDue =
      this.#isIncompleteFor(nowMs) || this.#listsRemovedBoxes() || this.#takeRefresh(nowMs);
    if (isDue) {
      void this.update();
    }
  }

  /** Reads the list, and writes it if running boxes are missing or listed ones no longer exist. */
  async update(): Promise<void> {
    this.#isUpdating = true;
    const written = await this.#readAndWrite();
    this.#isUpdating = false;
    const entry = written.isErr() ? undefined : decodeFleetEntry(written.value.spec);
    if (entry === undefined) {
      const reason = written.isErr() ? written.error.message : "Cannot decode the list of boxes";
      this.#retryLater(reason);
    } else {
      this.#options.onSize(sizeOf(entry));
    }
  }

  async #readAndWrite(): Promise<Result<StoreObject, StoreError>> {
    const read = await this.#options.store.read(FLEET_KIND, FLEET_NAME);
    if (read.isOk()) {
      return this.#write(read.value);
    }
    return read.error.kind === "notFound" ? this.#write(undefined) : read;
  }

  #retryLater(reason: string): void {
    const { box, nowMs, telemetry } = this.#options;
    this.#retryAtMs = nowMs() + RETRY_DELAY_MS;
    telemetry.event("warn", "fleet: list of boxes was not updated", { box, reason });
  }

  /** Writes the list if it differs from what it should contain. */
  async #write(object: StoreObject | undefined): Promise<Result<StoreObject, StoreError>> {
    const { size, store, telemetry } = this.#options;
    const before = object === undefined ? undefined : decodeFleetEntry(object.spec);
    const boxes = this.#boxesToList(toMap(before) ?? this.#options.knownBoxes());
    const isCurrent = before !== undefined && before.generation >= (size()?.generation ?? 0);
    if (object !== undefined && isCurrent && areEqual(boxes, toMap(before))) {
      return ok(object);
    }
    const generation = Math.max(before?.generation ?? 0, size()?.generation ?? 0) + 1;
    const spec: FleetEntry = { generation, boxes: Object.fromEntries(boxes) };
    telemetry.event("info", "fleet: list of boxes changes", {
      generation,
      before: toMap(before)?.size ?? 0,
      boxCount: boxes.size,
    });
    return object === undefined
      ? store.create(FLEET_KIND, FLEET_NAME, spec)
      : store.replace(FLEET_KIND, { ...object, spec });
  }

  #boxesToList(listed: BoxCores): BoxCores {
    const running = this.#options.runningBoxes();
    const known = this.#options.knownBoxes();
    const mayRemove = this.#mayRemove(listed.size, running);
    const kept = [...listed].filter(([box]) => !mayRemove || known.has(box));
    return new Map([...kept, ...running]);
  }

  /**
   * Whether this box may remove boxes that it does not know. One that is disconnected from most
   * others may not, as these continue to run.
   */
  #mayRemove(listedCount: number, running: BoxCores): boolean {
    const uptimeMs = this.#options.nowMs() - this.#startedAtMs;
    return uptimeMs >= MIN_REMOVAL_UPTIME_MS && running.size >= listedCount * MIN_RUNNING_SHARE;
  }

  /** Whether this box is to remove boxes that it does not know. */
  #listsRemovedBoxes(): boolean {
    const { knownBoxes, rank, runningBoxes, size } = this.#options;
    const listedCount = size()?.boxCount ?? 0;
    return (
      this.#mayRemove(listedCount, runningBoxes()) &&
      knownBoxes().size < listedCount &&
      rank() === 0
    );
  }

  /** Whether running boxes have been missing from the list for long enough. */
  #isIncompleteFor(nowMs: number): boolean {
    const { rank, runningBoxes, size } = this.#options;
    const isComplete = runningBoxes().size <= (size()?.boxCount ?? 0);
    if (isComplete) {
      this.#incompleteSinceMs = undefined;
      return false;
    }
    this.#incompleteSinceMs ??= nowMs;
    const waitedMs = nowMs - this.#incompleteSinceMs - PEER_DISCOVERY_MS;
    return waitedMs >= 0 && waitedMs >= rank() * RANK_DELAY_MS;
  }

  /** Whether the first box is to read the list again, as boxes that it cannot reach may change it. */
  #takeRefresh(nowMs: number): boolean {
    if (nowMs < this.#refreshAtMs) {
      return false;
    }
    this.#refreshDelayMs = Math.min(2 * this.#refreshDelayMs, REFRESH_DELAY_MS.max);
    this.#refreshAtMs = nowMs + this.#refreshDelayMs;
    return this.#options.rank() === 0;
  }
}

function toMap(entry: FleetEntry | undefined): BoxCores | undefined {
  return entry && new Map(Object.entries(entry.boxes));
}

function areEqual(boxes: BoxCores, others: BoxCores | undefined): boolean {
  const hasEqualSize = boxes.size === others?.size;
  return hasEqualSize && [...boxes].every(([box, cores]) => others.get(box) === cores);
}

function sizeOf({ generation, boxes }: FleetEntry): FleetSize {
  const cores = Object.values(boxes);
  // Rounded up, as each datagram contains it.
  const totalWeight = Math.ceil(sumOfWeights(cores) * WEIGHT_ROUNDING) / WEIGHT_ROUNDING;
  return { generation, boxCount: cores.length, totalWeight };
}
