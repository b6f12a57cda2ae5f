/**
 * The data centres that operators have evacuated, from the store or from other boxes, whichever is
 * newer. Evacuations remain in effect while the store is unreachable.
 *
 * @module
 */
import type { EvacuationUpdate, StorePosition } from "../model/mod.js";
import { isEvacuationName, type StoreChanges, type StoreList } from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { AppliedPosition } from "./_applied_position.js";

/**
 * Time for which an evacuation that a restored store lacks remains in effect, in milliseconds, so
 * that operators can write it again. A data centre that stays unused for too long loses no request
 * that has a leaf elsewhere.
 */
const REWRITE_TIMEOUT_MS = 10_000;

/** Options of the evacuations. */
export interface EvacuationsOptions {
  readonly nowMs: () => number;
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /** Called after each change, with the data centres that are used again. */
  readonly onChange: (usedAgain: ReadonlyArray<string>) => void;
}

/** The evacuations that a box knows. */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  #dataCentres: ReadonlySet<string> = new Set();
  /** Evacuations that the restored store lacks, with the times at which they end. */
  readonly #endAtMs = new Map<string, number>();
  readonly #applied = new AppliedPosition();
  #hasEverEvacuated = false;

  /**
   * @param options - Options of the evacuations.
   */
  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Data centres whose leafs receive no calls. */
  get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  /** Store position up to which evacuations are applied; 0 before the first list. */
  get position(): StorePosition {
    return this.#applied.value;
  }

  /**
   * Update for other boxes; `undefined` if no data centre was ever evacuated, which they assume by
   * default.
   */
  get update(): EvacuationUpdate | undefined {
    return this.#hasEverEvacuated
      ? { position: this.position, dataCentres: [...this.#dataCentres] }
      : undefined;
  }

  /**
   * Applies a complete list of the store.
   *
   * @param list - List of all evacuations.
   */
  applyList({ objects, revision }: StoreList): void {
    const outcome = this.#applied.advanceToList(revision);
    if (outcome === "outdated") {
      return;
    }
    const listed = new Set(objects.map(({ name }) => name).filter(isEvacuationName));
    if (outcome === "restored") {
      this.#keepMissing(listed);
    } else {
      this.#endAtMs.clear();
    }
    this.#set(new Set([...listed, ...this.#endAtMs.keys()]), "store");
  }

  /**
   * Applies changes of the store.
   *
   * @param changes - Started and ended evacuations.
   */
  applyChanges({ changed, removed, revision }: StoreChanges): void {
    if (!this.#applied.advanceTo(revision)) {
      return;
    }
    const dataCentres = new Set(this.#dataCentres);
    for (const name of removed) {
      dataCentres.delete(name);
      this.#endAtMs.delete(name);
    }
    for (const { name } of changed.filter((each) => isEvacuationName(each.name))) {
      dataCentres.add(name);
      this.#endAtMs.delete(name);
    }
    this.#set(dataCentres, "store");
  }

  /**
   * Merges the evacuations that another box reports if they are newer.
   *
   * @param update - Reported evacuations.
   * @returns Whether they were newer.
   */
  merge({ dataCentres, position }: EvacuationUpdate): boolean {
    if (!this.#applied.advanceTo(position)) {
      return false;
    }
    this.#endAtMs.clear();
    this.#set(new Set(dataCentres), "peer");
    return true;
  }

  /** Ends evacuations that were not written again in time after the store was restored. */
  dropExpired(): void {
    const nowMs = this.#options.nowMs();
    const expired = [...this.#endAtMs].filter(([, atMs]) => atMs <= nowMs).map(([name]) => name);
    if (expired.length > 0) {
      for (const name of expired) {
        this.#endAtMs.delete(name);
      }
      const kept = [...this.#dataCentres].filter((name) => !expired.includes(name));
      this.#set(new Set(kept), "time");
    }
  }

  #keepMissing(listed: ReadonlySet<string>): void {
    const endAtMs = this.#options.nowMs() + REWRITE_TIMEOUT_MS;
    for (const name of this.#dataCentres) {
      if (!listed.has(name)) {
        this.#endAtMs.set(name, endAtMs);
      }
    }
  }

  #set(dataCentres: ReadonlySet<string>, source: "store" | "peer" | "time"): void {
    const before = this.#dataCentres;
    this.#dataCentres = dataCentres;
    this.#hasEverEvacuated ||= dataCentres.size > 0;
    const usedAgain = [...before].filter((name) => !dataCentres.has(name));
    const added = [...dataCentres].filter((name) => !before.has(name));
    if (usedAgain.length + added.length > 0) {
      const fields = { emptied: added, usedAgain, position: this.position, source };
      this.#options.telemetry.event("warn", "evacuations: changed", fields);
      this.#options.onChange(usedAgain);
    }
  }
}
