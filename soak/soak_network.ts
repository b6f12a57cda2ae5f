/**
 * Simulated network: streams between daemons, messages that may be lost, delayed or duplicated, and
 * partitions.
 *
 * @module
 */
import type { EntryEffect, EntryEvent, EntryState } from "../entry/mod.js";
import type { PoolEffect, PoolEvent, PoolState } from "../pool/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { SoakNode } from "./soak_node.js";

/** An entry in virtual time. */
export type EntryNode = SoakNode<EntryState, EntryEvent, EntryEffect>;

/** A pool in virtual time. */
export type PoolNode = SoakNode<PoolState, PoolEvent, PoolEffect>;

/** A stream between an entry and a pool. */
export interface SoakLink {
  readonly entry: EntryNode;
  readonly pool: PoolNode;
}

/** Callbacks of the network. */
export interface SoakNetworkOptions {
  /** Returns the running pool with an id. */
  readonly findPool: (poolId: string) => PoolNode | undefined;
  /** Counts an event that occurred. */
  readonly countEvent: (kind: string) => void;
}

/** Time until a stream between partitioned boxes is closed, in milliseconds. */
const LINK_TIMEOUT_MS = 3_000;

/** A simulated network. */
export class SoakNetwork {
  readonly #schedule: Schedule;
  readonly #options: SoakNetworkOptions;
  readonly #links = new Map<string, SoakLink>();
  readonly #cuts = new Set<string>();
  /** Shares of messages that are lost, duplicated and delayed. */
  noise = { lost: 0, duplicate: 0, late: 0 };

  /**
   * @param schedule - Virtual time.
   * @param options - Callbacks.
   */
  constructor(schedule: Schedule, options: SoakNetworkOptions) {
    this.#schedule = schedule;
    this.#options = options;
  }

  /**
   * Partitions two boxes, or a box and the platform, for a limited time.
   *
   * @param one - Name of a box.
   * @param other - Name of another box, or `platform`.
   * @param durationMs - Duration, in milliseconds.
   */
  cut(one: string, other: string, durationMs: number): void {
    const key = cutKey(one, other);
    this.#cuts.add(key);
    this.#schedule.after(LINK_TIMEOUT_MS, () => {
      if (this.#cuts.has(key)) {
        this.closeLinks(({ entry, pool }) => cutKey(entry.self.box, pool.self.box) === key);
      }
    });
    this.#schedule.after(durationMs, () => this.#cuts.delete(key));
  }

  /**
   * Returns whether two boxes, or a box and the platform, are partitioned.
   *
   * @param one - Name of a box.
   * @param other - Name of another box, or `platform`.
   * @returns `true` if no message passes between them.
   */
  isCut(one: string, other: string): boolean {
    return one !== other && this.#cuts.has(cutKey(one, other));
  }

  /**
   * Closes streams; each is reopened after a delay.
   *
   * @param shouldClose - Selects the streams to close.
   */
  closeLinks(shouldClose: (link: SoakLink) => boolean): void {
    for (const [key, link] of [...this.#links]) {
      if (shouldClose(link)) {
        this.#links.delete(key);
        const { entry, pool } = link;
        const entryId = entry.self.incarnation;
        const poolId = pool.self.memberId;
        entry.deliver((nowMs) => ({ kind: "poolLost", nowMs, poolId }));
        pool.deliver((nowMs) => ({ kind: "entryLost", nowMs, entryId }));
        this.#schedule.after(250, () => this.openLink(entry, poolId));
      }
    }
  }

  /**
   * Opens a stream as soon as the pool is reachable.
   *
   * @param entry - The entry.
   * @param poolId - Id of the pool.
   */
  openLink(entry: EntryNode, poolId: string): void {
    const pool = this.#options.findPool(poolId);
    const key = `${entry.self.incarnation} ${poolId}`;
    if (pool === undefined || !entry.isAlive || this.#links.has(key)) {
      return;
    }
    if (!pool.isAlive || pool.isPaused || this.isCut(entry.self.box, pool.self.box)) {
      this.#schedule.after(500, () => this.openLink(entry, poolId));
      return;
    }
    this.#links.set(key, { entry, pool });
    const entryId = entry.self.incarnation;
    pool.deliver((nowMs) => ({ kind: "entryOpened", nowMs, entryId }));
    entry.deliver((nowMs) => ({ kind: "poolOpened", nowMs, poolId }));
  }

  /**
   * Sends a message on a stream. Messages arrive in order; they are dropped once the stream is closed.
   *
   * @param entry - The entry.
   * @param poolId - Id of the pool.
   * @param deliver - Delivers the message.
   */
  sendOnLink(entry: EntryNode, poolId: string, deliver: (pool: PoolNode) => void): void {
    const key = `${entry.self.incarnation} ${poolId}`;
    const link = this.#links.get(key);
    if (link === undefined) {
      return;
    }
    this.#schedule.after(1, () => {
      if (this.#links.get(key) === link && !this.isCut(entry.self.box, link.pool.self.box)) {
        deliver(link.pool);
      }
    });
  }

  /**
   * Returns an open stream.
   *
   * @param entryId - Incarnation of the entry.
   * @param poolId - Id of the pool.
   * @returns The stream, or `undefined` if it is not open.
   */
  findLink(entryId: string, poolId: string): SoakLink | undefined {
    return this.#links.get(`${entryId} ${poolId}`);
  }

  /**
   * Sends a message that may be lost, delayed or duplicated.
   *
   * @param from - Name of the sending box.
   * @param to - Name of the receiving box.
   * @param deliver - Delivers the message.
   */
  send(from: string, to: string, deliver: () => void): void {
    if (this.isCut(from, to) || this.#schedule.chance(this.noise.lost)) {
      this.#options.countEvent("lost message");
      return;
    }
    const isLate = this.#schedule.chance(this.noise.late);
    if (isLate) {
      this.#options.countEvent("late message");
    }
    this.#schedule.after(
      isLate ? this.#schedule.int(20, 2_000) : this.#schedule.int(1, 3),
      deliver,
    );
    if (this.#schedule.chance(this.noise.duplicate)) {
      this.#options.countEvent("doubled message");
      this.#schedule.after(this.#schedule.int(1, 500), deliver);
    }
  }
}

function cutKey(one: string, other: string): string {
  return [one, other].sort().join(" | ");
}
