/**
 * Persists quarantined queries in the platform's store, so that they survive a simultaneous restart
 * of all boxes. Suspected queries are not persisted.
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

/** Time after the start in which a box discovers its peers, in milliseconds. */
const PEER_DISCOVERY_MS = 1_000;

/** Delay between attempts while calls to the store fail, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Maximum number of attempts; other boxes persist the same queries, and each call is charged. */
const MAX_ATTEMPTS = 60;

/** Options of a quarantine archive. */
export interface QuarantineArchiveOptions {
  readonly store: Pick<StoreClient, "create" | "list" | "remove">;
  readonly nowMs: () => number;
  /** Returns the time of day, in milliseconds since the epoch. */
  readonly nowEpochMs: () => number;
  /** Called with the loaded queries. */
  readonly onLoaded: (crashes: ReadonlyArray<ReportedCrashes>) => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** Archive of quarantined queries. */
export class QuarantineArchive {
  readonly #options: QuarantineArchiveOptions;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param options - Options of the archive.
   */
  constructor(options: QuarantineArchiveOptions) {
    this.#options = options;
  }

  /**
   * Schedules loading for when this box has discovered its peers.
   *
   * @param isReader - Returns, at that time, whether this box should load; other boxes receive the
   *   queries from those that do.
   */
  scheduleLoad(isReader: () => boolean): void {
    this.#timer = setTimeout(() => {
      if (isReader()) {
        void this.load();
      }
    }, PEER_DISCOVERY_MS);
  }

  /**
   * Loads the queries that earlier incarnations have persisted, with retries, and removes expired
   * ones.
   */
  async load(): Promise<void> {
    await this.#retry("load", async () => {
      const listed = await this.#options.store.list(QUARANTINE_KIND, { mayBeStale: false });
      if (listed.isErr()) {
        return listed.error.message;
      }
      const nowEpochMs = this.#options.nowEpochMs();
      const crashes = listed.value.objects.flatMap(({ name, spec }) => {
        return decodeQuarantineEntry(name, spec, nowEpochMs) ?? [];
      });
      this.#options.onLoaded(crashes);
      await this.#removeExpired(crashes);
      return undefined;
    });
  }

  /**
   * Persists a query that was quarantined, and removes one that no longer is.
   *
   * @param record - New record of the query.
   * @param before - Previous record; `undefined` if there was none.
   */
  async recordChange(record: CrashRecord, before: CrashRecord | undefined): Promise<void> {
    const { fingerprint, standing } = record;
    if (standing === before?.standing) {
      return;
    }
    if (standing === "quarantined") {
      await this.#retry("keep", () => this.#create(record));
    } else if (before?.standing === "quarantined") {
      await this.#retry("remove", () => this.#remove(fingerprint));
    }
  }

  /**
   * Persists all quarantined queries again, as a store that was restored from a backup may lack
   * them.
   *
   * @param records - Records of all queries.
   */
  async rewrite(records: ReadonlyArray<CrashRecord>): Promise<void> {
    for (const record of records.filter(({ standing }) => standing === "quarantined")) {
      await this.#retry("keep again", () => this.#create(record));
    }
  }

  /** Stops all attempts. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #create(record: CrashRecord): Promise<string | undefined> {
    const { nowMs, nowEpochMs, store } = this.#options;
    const entry = encodeQuarantineEntry(toReportedCrashes(record, nowMs()), nowEpochMs());
    const created = await store.create(QUARANTINE_KIND, record.fingerprint, entry);
    // A conflict means that the entry already exists.
    return created.isErr() && created.error.kind !== "conflict" ? created.error.message : undefined;
  }

  async #remove(fingerprint: string): Promise<string | undefined> {
    const removed = await this.#options.store.remove(QUARANTINE_KIND, fingerprint);
    return removed.isErr() && removed.error.kind !== "notFound" ? removed.error.message : undefined;
  }

  async #removeExpired(crashes: ReadonlyArray<ReportedCrashes>): Promise<void> {
    const expired = crashes.filter(({ changedAgoMs }) => changedAgoMs >= RETENTION_MS.quarantined);
    for (const { fingerprint } of expired) {
      await this.#remove(fingerprint);
    }
  }

  /** Repeats an operation until it returns no error, or until the maximum number of attempts. */
  async #retry(what: string, operation: () => Promise<string | undefined>): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !this.#isStopped; attempt++) {
      const reason = await operation();
      if (reason === undefined) {
        return;
      }
      if (attempt === 1 || attempt === MAX_ATTEMPTS) {
        const fields = { what, tries: attempt, reason };
        this.#options.telemetry.event("warn", "quarantine: call to the store failed", fields);
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS).unref());
    }
  }
}
