/**
 * The data centres that operators have emptied, as a box believes: from the store or from other boxes, whichever
 * is ahead. What is known goes on while the store is away.
 *
 * @module
 */
import { type EvacuationUpdate, eraOf, type StorePosition } from "../model/mod.js";
import type { StoreChanges, StoreList } from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/**
 * Time for which an evacuation goes on that a store which came back older does not hold, in milliseconds: operators
 * write it again. Far above the two seconds in which leafs do the same; a data centre that is empty for longer than
 * need be loses no request that has a leaf elsewhere.
 */
const REWRITE_MS = 10_000;

/** What the belief is made from. */
export interface EvacuationsOptions {
  readonly nowMs: () => number;
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /** Told after each change, with the data centres that are used again. */
  readonly onChange: (usedAgain: ReadonlyArray<string>) => void;
}

/** The evacuations that a box believes in. */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  #dataCentres: ReadonlySet<string> = new Set();
  /** Evacuations that the store lacks since it came back older, and when they end. */
  readonly #endAtMs = new Map<string, number>();
  #position: StorePosition = 0;
  #hasAnyBeen = false;

  /**
   * @param options - What the belief is made from.
   */
  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Data centres to whose leafs nothing more is to be sent. */
  get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  /** Position of the store up to which they are known; 0 before the first list. */
  get position(): StorePosition {
    return this.#position;
  }

  /** What other boxes are told; nothing while no data centre was ever emptied, which is what they assume. */
  get update(): EvacuationUpdate | undefined {
    return this.#hasAnyBeen
      ? { position: this.#position, dataCentres: [...this.#dataCentres] }
      : undefined;
  }

  /**
   * Takes in a whole list of the store.
   *
   * @param list - The list.
   */
  applyList({ objects, revision }: StoreList): void {
    if (revision < this.#position) {
      return;
    }
    const listed = new Set(objects.map(({ name }) => name));
    if (eraOf(revision) > eraOf(this.#position)) {
      this.#keepMissing(listed);
    } else {
      this.#endAtMs.clear();
    }
    this.#set(new Set([...listed, ...this.#endAtMs.keys()]), {
      position: revision,
      source: "store",
    });
  }

  /**
   * Takes in changes of the store.
   *
   * @param changes - The changes.
   */
  applyChanges({ changed, removed, revision }: StoreChanges): void {
    if (revision <= this.#position) {
      return;
    }
    const dataCentres = new Set(this.#dataCentres);
    for (const name of removed) {
      dataCentres.delete(name);
      this.#endAtMs.delete(name);
    }
    for (const { name } of changed) {
      dataCentres.add(name);
      this.#endAtMs.delete(name);
    }
    this.#set(dataCentres, { position: revision, source: "store" });
  }

  /**
   * Takes in what another box knows, where that is ahead.
   *
   * @param news - What it knows.
   * @returns Whether it was ahead.
   */
  merge({ dataCentres, position }: EvacuationUpdate): boolean {
    if (position <= this.#position) {
      return false;
    }
    this.#endAtMs.clear();
    this.#set(new Set(dataCentres), { position, source: "peer" });
    return true;
  }

  /** Ends evacuations that a store which came back older did not get again. */
  dropExpired(): void {
    const nowMs = this.#options.nowMs();
    const due = [...this.#endAtMs].filter(([, atMs]) => atMs <= nowMs).map(([name]) => name);
    if (due.length > 0) {
      for (const name of due) {
        this.#endAtMs.delete(name);
      }
      const kept = [...this.#dataCentres].filter((name) => !due.includes(name));
      this.#set(new Set(kept), { position: this.#position, source: "time" });
    }
  }

  #keepMissing(listed: ReadonlySet<string>): void {
    const endAtMs = this.#options.nowMs() + REWRITE_MS;
    for (const name of this.#dataCentres) {
      if (!listed.has(name)) {
        this.#endAtMs.set(name, endAtMs);
      }
    }
  }

  #set(
    dataCentres: ReadonlySet<string>,
    { position, source }: { readonly position: StorePosition; readonly source: string },
  ): void {
    const before = this.#dataCentres;
    this.#position = position;
    this.#dataCentres = dataCentres;
    this.#hasAnyBeen ||= dataCentres.size > 0;
    const usedAgain = [...before].filter((name) => !dataCentres.has(name));
    const emptied = [...dataCentres].filter((name) => !before.has(name));
    if (usedAgain.length + emptied.length > 0) {
      const fields = { emptied, usedAgain, position, source };
      this.#options.telemetry.event("warn", "evacuations: changed", fields);
      this.#options.onChange(usedAgain);
    }
  }
}
