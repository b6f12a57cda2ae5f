/**
 * The shards of one snapshot and what became of each within a query. Rows of two groups are never
 * merged.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import type { MissingReason, Row, SnapshotSpec } from "../model/mod.js";

/** What became of one shard. */
export type ShardOutcome =
  | { readonly kind: "included"; readonly rows: ReadonlyArray<Row> }
  | { readonly kind: "lacking"; readonly reason: MissingReason; readonly notRun: boolean };

/** The shards of a pinned snapshot. */
export interface SnapshotGroup {
  readonly snapshot: string;
  readonly shards: ReadonlyArray<string>;
  readonly settled: ImmutableMap<string, ShardOutcome>;
  readonly includedCount: number;
}

/**
 * Pins a snapshot.
 *
 * @param spec - The snapshot with its shards.
 * @returns A group in which no shard is settled.
 */
export function pinSnapshot(spec: SnapshotSpec): SnapshotGroup {
  const shards = spec.shards.map((each) => each.shard);
  return { snapshot: spec.snapshot, shards, settled: ImmutableMap(), includedCount: 0 };
}

/**
 * Settles a shard; the first outcome counts and later ones change nothing.
 *
 * @param group - The group so far.
 * @param shard - Shard of the group's snapshot.
 * @param outcome - What became of it.
 * @returns The group after that.
 */
export function settleShard(
  group: SnapshotGroup,
  shard: string,
  outcome: ShardOutcome,
): SnapshotGroup {
  if (group.settled.has(shard)) {
    return group;
  }
  const includedCount = group.includedCount + (outcome.kind === "included" ? 1 : 0);
  return { ...group, settled: group.settled.set(shard, outcome), includedCount };
}

/**
 * Tells how much of the snapshot is covered.
 *
 * @param group - The group.
 * @returns Share of shards included, 0 to 1.
 */
export function coverageRatio(group: SnapshotGroup): number {
  return group.includedCount / group.shards.length;
}

/**
 * Tells whether nothing is awaited any more.
 *
 * @param group - The group.
 * @returns Whether each shard is settled.
 */
export function isSettled(group: SnapshotGroup): boolean {
  return group.settled.size === group.shards.length;
}
