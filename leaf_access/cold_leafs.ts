/**
 * Knows which leafs are cold, and bounds the calls of this box to each of them.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import { coldCallQuota } from "./cold_call_quota.js";

/** What services say of their cold leafs. */
export interface WarmupTerms {
  /** Time for which a leaf stays cold after a start, in milliseconds. */
  readonly warmupMs: number;
  /** Calls a second that a cold leaf bears; 0 where nothing is said. */
  readonly warmupPerS: number;
}

/** What the cold leafs are reckoned from. */
export interface ColdLeafsOptions {
  readonly nowMs: () => number;
  /** Name of this box. */
  readonly box: string;
  /** Tells what a service says of its cold leafs. */
  readonly warmupTermsOf: (service: string) => WarmupTerms | undefined;
  /** What may be exceeded: the factor on calls a second, and the calls besides. */
  readonly tolerance: { readonly factor: number; readonly slackCalls: number };
  /** Lists the boxes that may call leafs of a data centre while these are cold; empty while none is known. */
  readonly callingBoxesOf: (dataCentre: string) => ReadonlyArray<string>;
}

/**
 * Time within which calls are counted together, in milliseconds: the second that leafs are judged by, and some for
 * timers and clocks that run at slightly different paces.
 */
const WINDOW_MS = 1_050;

interface ColdLeaf {
  /** Which entry told it: a later one that tells it again starts anew. */
  readonly entryRevision: number;
  readonly untilMs: number;
}

/** The cold leafs as one box knows them. */
export class ColdLeafs {
  readonly #options: ColdLeafsOptions;
  readonly #cold = new Map<string, ColdLeaf>();
  /** When calls of the last second were sent, by leaf. */
  readonly #sentAtMs = new Map<string, ReadonlyArray<number>>();

  /**
   * @param options - What the cold leafs are reckoned from.
   */
  constructor(options: ColdLeafsOptions) {
    this.#options = options;
  }

  /**
   * Takes in which leafs there are now.
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
        this.#forgetWarm(leafId, nowMs);
      } else if (warmingForMs > 0 && this.#cold.get(leafId)?.entryRevision !== entryRevision) {
        this.#cold.set(leafId, { entryRevision, untilMs: nowMs + warmingForMs });
      }
    }
  }

  /**
   * Takes leafs for cold that have had no work for long, before their own entries say so: those of a data centre
   * that is used again.
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
   * Tells whether a leaf is cold.
   *
   * @param leafId - The leaf.
   * @returns Whether it is.
   */
  isCold(leafId: string): boolean {
    const cold = this.#cold.get(leafId);
    if (cold === undefined) {
      // Asked for each leaf of each query, where reading the clock would be most of the work.
      return false;
    }
    return cold.untilMs > this.#options.nowMs();
  }

  /**
   * Tells whether this box may send a leaf a call now.
   *
   * @param leaf - The leaf.
   * @returns Whether it may; always where the leaf is not cold or its service sets no limit.
   */
  mayCall(leaf: Leaf): boolean {
    if (!this.isCold(leaf.leafId)) {
      return true;
    }
    const { box, callingBoxesOf: callersOf, warmupTermsOf: termsOf, tolerance } = this.#options;
    const warmupPerS = termsOf(leaf.service)?.warmupPerS ?? 0;
    if (warmupPerS <= 0) {
      return true;
    }
    const mostCalls = warmupPerS * tolerance.factor + tolerance.slackCalls;
    const { leafId } = leaf;
    const share = coldCallQuota(
      { leafId, maxCalls: mostCalls, callingBoxes: callersOf(leaf.dataCentre) },
      box,
    );
    return this.#recent(leafId).length < share;
  }

  /**
   * Counts a call that is being sent.
   *
   * @param leaf - The leaf.
   */
  noteSent({ leafId }: Leaf): void {
    if (this.isCold(leafId)) {
      this.#sentAtMs.set(leafId, [...this.#recent(leafId), this.#options.nowMs()]);
    }
  }

  /** Forgets a leaf that was cold; not before its time, as an entry may have been written before it turned cold. */
  #forgetWarm(leafId: string, nowMs: number): void {
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
