/**
 * Holds the crash records of a box, limited in number and age.
 *
 * @module
 */
import { type CrashRecord, RETENTION_MS } from "./crash_record.js";

/** Maximum number of records; the oldest are evicted first. */
const MAX_RECORDS = 512;

/** Crash records by fingerprint. */
export class CrashRecords {
  readonly #nowMs: () => number;
  /** Records by fingerprint, in the order of their last change. */
  readonly #records = new Map<string, CrashRecord>();

  /**
   * @param nowMs - Returns the current time, in milliseconds.
   */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  /** Whether there are no records. */
  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /**
   * Returns the record of a query, also if it is expired but not dropped yet.
   *
   * @param fingerprint - Fingerprint of the query.
   * @returns The record; `undefined` if there is none.
   */
  get(fingerprint: string): CrashRecord | undefined {
    return this.#records.get(fingerprint);
  }

  /**
   * Adds or replaces the record of a query.
   *
   * @param record - The new record.
   */
  set(record: CrashRecord): void {
    const { fingerprint } = record;
    // Reinserted to keep the map in the order of changes.
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    this.#evictExcess();
  }

  /**
   * Deletes the record of a query.
   *
   * @param fingerprint - Fingerprint of the query.
   */
  delete(fingerprint: string): void {
    this.#records.delete(fingerprint);
  }

  /**
   * Drops expired records and returns the others.
   *
   * @returns The records, in the order of their last change.
   */
  current(): ReadonlyArray<CrashRecord> {
    this.#dropExpired();
    return [...this.#records.values()];
  }

  #dropExpired(): void {
    const nowMs = this.#nowMs();
    for (const [fingerprint, { standing, changedAtMs }] of this.#records) {
      if (nowMs - changedAtMs >= RETENTION_MS[standing]) {
        this.#records.delete(fingerprint);
      }
    }
  }

  /** Evicts the oldest record above the limit; quarantined queries are evicted last. */
  #evictExcess(): void {
    if (this.#records.size <= MAX_RECORDS) {
      return;
    }
    this.#dropExpired();
    const all = [...this.#records.values()];
    const oldest = all.find(({ standing }) => standing !== "quarantined") ?? all[0];
    if (this.#records.size > MAX_RECORDS && oldest !== undefined) {
      this.#records.delete(oldest.fingerprint);
    }
  }
}
