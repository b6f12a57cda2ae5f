/**
 * Tracks which leafs are cold, and limits the calls of this box to each of them.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import { coldCallQuota } from "./cold_call_quota.js";

/** Warm-up settings of a service's leafs. */
export interface WarmupTerms {
  /** Time for which a leaf stays cold after its start, in milliseconds. */
  readonly warmupMs: number;
  /** Calls a second that a cold leaf can bear; 0 for no limit. */
  readonly warmupPerS: number;
}

/** Dependencies of the cold-leaf tracking. */
export interface ColdLeafsOptions {
  readonly nowMs: () => number;
  /** Name of this box. */
  readonly box: string;
  /** Returns the warm-up settings of a service. */
  readonly warmupTermsOf: (service: string) => WarmupTerms | undefined;
  /**
   * By how much the limit may be exceeded: a factor on the calls a second, and a number of calls on
   * top.
   */
  readonly tolerance: { readonly factor: number; readonly slackCalls: number };
  /** Lists the boxes that may call the cold leafs of a data centre; empty while none is known. */
  readonly callingBoxesOf: (dataCentre: string) => ReadonlyArray<string>;
}

/**
 * Window over which calls are counted, in milliseconds: one second, and a margin for timers and
 * clock drift.
 */
const WINDOW_MS = 1_050;

interface ColdLeaf {
  /** Revision of the leaf's entry. A later revision with a warm-up time starts a new one. */
  readonly entryRevision: number;
  readonly untilMs: number;
}

/** The cold leafs as seen by this box. */
export class ColdLeafs {
  readonly #options: ColdLeafsOptions;
  readonly #cold = new Map<string, ColdLeaf>();
  /** When calls were sent within the window, by leaf. */
  readonly #sentAtMs = new Map<string, ReadonlyArray<number>>();

  /**
   * @param options - Dependencies of the tracking.
   */
  constructor(options: ColdLeafsOptions) {
    this.#options = options;
  }

  /**
   * Replaces the known leafs.
   *
   * @param leafs - The leafs, by id.
   */
  setLeafs(leafs: ReadonlyMap<string, Leaf>): void {
    const nowMs = this.#options.nowMs();
    for (const leafId of this.#cold.keys()) {
      if (!leafs.has(leafId)) {
        this.#cold.delete(leafId);
        this.#sentAtMs.delete(leafId);
      }
    }
    for (const { leafId, entryRevision, warmingForMs } of leafs.values()) {
      if (warmingForMs === 0 && this.#cold.get(leafId)?.entryRevision !== entryRevision) {
        this.#removeWarm(leafId, nowMs);
      } else if (warmingForMs > 0 && this.#cold.get(leafId)?.entryRevision !== entryRevision) {
        this.#cold.set(leafId, { entryRevision, untilMs: nowMs + warmingForMs });
      }
    }
  }

  /**
   * Marks leafs as cold before their own entries do, because they have been idle: those of a data
   * centre that is in use again.
   *
   * @param leafs - The leafs.
   */
  markCold(leafs: ReadonlyArray<Leaf>): void {
    const nowMs = this.#options.nowMs();
    for (const { leafId, entryRevision, service } of leafs) {
      const warmupMs = this.#options.warmupTermsOf(service)?.warmupMs ?? 0;
      if (warmupMs > 0) {
        this.#cold.set(leafId, { entryRevision, untilMs: nowMs + warmupMs });
      }
    }
  }

  /**
   * Returns whether a leaf is cold.
   *
   * @param leafId - The leaf.
   * @returns Whether it is cold.
   */
  isCold(leafId: string): boolean {
    const cold = this.#cold.get(leafId);
    if (cold === undefined) {
      // Called for each leaf of each query: avoids reading the clock for warm leafs.
      return false;
    }
    return cold.untilMs > this.#options.nowMs();
  }

  /**
   * Returns whether this box may call a leaf now.
   *
   * @param leaf - The leaf.
   * @returns Whether it may; always true if the leaf is not cold or its service sets no limit.
   */
  mayCall(leaf: Leaf): boolean {
    if (!this.isCold(leaf.leafId)) {
      return true;
    }
    const { box, callingBoxesOf, warmupTermsOf, tolerance } = this.#options;
    const warmupPerS = warmupTermsOf(leaf.service)?.warmupPerS ?? 0;
    if (warmupPerS <= 0) {
      return true;
    }
    const maxCalls = warmupPerS * tolerance.factor + tolerance.slackCalls;
    const { leafId } = leaf;
    const quota = coldCallQuota(
      { leafId, maxCalls, callingBoxes: callingBoxesOf(leaf.dataCentre) },
      box,
    );
    return this.#recent(leafId).length < quota;
  }

  /**
   * Counts a call that is being sent.
   *
   * @param leaf - The leaf.
   */
  recordCallSent({ leafId }: Leaf): void {
    if (this.isCold(leafId)) {
      this.#sentAtMs.set(leafId, [...this.#recent(leafId), this.#options.nowMs()]);
    }
  }

  /**
   * Stops tracking a leaf that is reported warm, but only after its warm-up time: the entry may
   * have been written before the leaf became cold.
   */
  #removeWarm(leafId: string, nowMs: number): void {
    if ((this.#cold.get(leafId)?.untilMs ?? 0) <= nowMs) {
      this.#cold.delete(leafId);
      this.#sentAtMs.delete(leafId);
    }
  }

  #recent(leafId: string): ReadonlyArray<number> {
    const sinceMs = this.#options.nowMs() - WINDOW_MS;
    return (this.#sentAtMs.get(leafId) ?? []).filter((atMs) => atMs > sinceMs);
  }
}
