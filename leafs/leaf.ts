/**
 * A leaf as described by its registry entry.
 *
 * @module
 */

/** One leaf of a service. */
export interface Leaf {
  /** Identifies the leaf; may be reused after a restart. */
  readonly leafId: string;
  /** Start time by the leaf's own clock, in milliseconds since the epoch; 0 if not reported. */
  readonly bornAtEpochMs: number;
  /** Store position at which the entry was written; within an era, the later entry is current. */
  readonly entryRevision: number;
  /** Number of entries that the leaf has written in this incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** Version of its software; omitted by boxes of builds that do not report it. */
  readonly version?: string | undefined;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Number of requests that the leaf runs concurrently. */
  readonly slots: number;
  /** Whether the leaf is shutting down and accepts no new calls. */
  readonly draining: boolean;
  /** Remaining warm-up time when the entry was written, in milliseconds. */
  readonly warmingForMs: number;
}

/**
 * Returns whether two entries with the same id describe the same incarnation of a leaf. Statistics
 * and open calls do not carry over to a new incarnation. The address is compared as well, for leafs
 * that do not report a start time.
 *
 * @param one - A leaf entry.
 * @param other - Another entry with the same id.
 * @returns Whether both describe the same incarnation.
 */
export function isSameIncarnation(one: Leaf, other: Leaf): boolean {
  return (
    one.bornAtEpochMs === other.bornAtEpochMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
