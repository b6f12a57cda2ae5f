/**
 * A leaf as its own entry in the registry tells of it.
 *
 * @module
 */

/** One leaf of a service. */
export interface Leaf {
  /** Names the leaf; one that starts again may keep it. */
  readonly leafId: string;
  /** When it started, in milliseconds since the epoch, by its own clock; 0 where it does not tell. */
  readonly bornAtEpochMs: number;
  /** Position of the store at which its entry was written: of two entries of one era the later one holds. */
  readonly entryRevision: number;
  /** Counts what the leaf has written in this incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Whether it has said that it will end and takes no new work. */
  readonly draining: boolean;
  /** Time for which it is still slow after its start, in milliseconds, as of its entry. */
  readonly warmingForMs: number;
}

/**
 * Tells whether two entries of one id are of the same run of the leaf. One that started again knows nothing
 * of before: what was learnt of its former incarnation, or sent to it, says nothing of the next. The address
 * tells them apart as well, for leafs that do not say when they started.
 *
 * @param one - An entry.
 * @param other - Another one of the same id.
 * @returns Whether they are of one incarnation.
 */
export function isSameIncarnation(one: Leaf, other: Leaf): boolean {
  return (
    one.bornAtEpochMs === other.bornAtEpochMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
