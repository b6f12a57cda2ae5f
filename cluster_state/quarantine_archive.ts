/**
 * Keeps queries that are not sent any more in the platform's store, so that they are known after all boxes
 * have started again at once. What is only suspected is not kept: it is learnt again at the cost of few leafs.
 *
 * @module
 */
import {
  decodeQuarantineEntry,
  encodeQuarantineEntry,
  QUARANTINE_KIND,
  type StoreClient,
} from "../platform/mod.js";
import {
  type CrashRecord,
  RETENTION_MS,
  type ReportedCrashes,
  toReportedCrashes,
} from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Time after the start in which a box learns of the others, in milliseconds. */
const LEARN_BOXES_MS = 1_000;

/** Time between two tries while the store does not do what it is asked, in milliseconds. */
const RETRY_MS = 1_000;

/** Tries before it is left at that: other boxes know as well, and each call has its price. */
const MOST_TRIES = 60;

/** What the archive needs of its box. */
export interface QuarantineArchiveOptions {
  readonly store: Pick<StoreClient, "create" | "list" | "remove">;
  readonly nowMs: () => number;
  /** The time of day, in milliseconds since the epoch. */
  readonly nowEpochMs: () => number;
  /** Told what was found. */
  readonly onLoaded: (told: ReadonlyArray<ReportedCrashes>) => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** The archive of one box. */
export class QuarantineArchive {
  readonly #options: QuarantineArchiveOptions;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param options - What the archive needs of its box.
   */
  constructor(options: QuarantineArchiveOptions) {
    this.#options = options;
  }

  /**
   * Reads what earlier lives have left, once this box has learnt of the others.
   *
   * @param isReader - Tells then whether this box is to read; the others are told by those that do.
   */
  scheduleLoad(isReader: () => boolean): void {
    this.#timer = setTimeout(() => {
      if (isReader()) {
        void this.load();
      }
    }, LEARN_BOXES_MS);
  }

  /** Reads what earlier lives have left, until the store has answered. */
  async load(): Promise<void> {
    await this.#untilDone("load", async () => {
      const listed = await this.#options.store.list(QUARANTINE_KIND, { mayBeStale: false });
      if (listed.isErr()) {
        return listed.error.message;
      }
      const nowEpochMs = this.#options.nowEpochMs();
      const told = listed.value.objects.flatMap(({ name, spec }) => {
        return decodeQuarantineEntry(name, spec, nowEpochMs) ?? [];
      });
      this.#options.onLoaded(told);
      await this.#removeOld(told);
      return undefined;
    });
  }

  /**
   * Takes in a change of what is believed of a query.
   *
   * @param record - What is believed now.
   * @param before - What was believed, if anything.
   */
  async recordChange(record: CrashRecord, before: CrashRecord | undefined): Promise<void> {
    const { fingerprint, standing } = record;
    if (standing === before?.standing) {
      return;
    }
    if (standing === "quarantined") {
      await this.#untilDone("keep", () => this.#create(record));
    } else if (before?.standing === "quarantined") {
      await this.#untilDone("remove", () => this.#remove(fingerprint));
    }
  }

  /**
   * Keeps queries again that the store may have lost as it came back from a copy.
   *
   * @param records - What is believed of all queries.
   */
  async rewrite(records: ReadonlyArray<CrashRecord>): Promise<void> {
    for (const record of records.filter(({ standing }) => standing === "quarantined")) {
      await this.#untilDone("keep again", () => this.#create(record));
    }
  }

  /** Ends all tries. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #create(record: CrashRecord): Promise<string | undefined> {
    const { nowMs, nowEpochMs, store } = this.#options;
    const entry = encodeQuarantineEntry(toReportedCrashes(record, nowMs()), nowEpochMs());
    const made = await store.create(QUARANTINE_KIND, record.fingerprint, entry);
    // A conflict says that it is there already.
    return made.isErr() && made.error.kind !== "conflict" ? made.error.message : undefined;
  }

  async #remove(fingerprint: string): Promise<string | undefined> {
    const removed = await this.#options.store.remove(QUARANTINE_KIND, fingerprint);
    return removed.isErr() && removed.error.kind !== "notFound" ? removed.error.message : undefined;
  }

  async #removeOld(told: ReadonlyArray<ReportedCrashes>): Promise<void> {
    const old = told.filter(({ changedAgoMs }) => changedAgoMs >= RETENTION_MS.quarantined);
    for (const { fingerprint } of old) {
      await this.#remove(fingerprint);
    }
  }

  /** Tries until there is no fault to tell of any more. */
  async #untilDone(what: string, attempt: () => Promise<string | undefined>): Promise<void> {
    for (let tries = 1; tries <= MOST_TRIES && !this.#isStopped; tries++) {
      const reason = await attempt();
      if (reason === undefined) {
        return;
      }
      if (tries === 1 || tries === MOST_TRIES) {
        const fields = { what, tries, reason };
        this.#options.telemetry.event("warn", "quarantine: store does not answer", fields);
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS).unref());
    }
  }
}
