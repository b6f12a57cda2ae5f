/**
 * The shards of one snapshot and their outcomes within a query. Rows of different groups are never
 * merged.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import type { MissingReason, Row, SnapshotSpec } from "../model/mod.js";

/** Outcome of one shard. */
export type ShardOutcome =
  | { readonly kind: "included"; readonly rows: ReadonlyArray<Row> }
  | { readonly kind: "lacking"; readonly reason: MissingReason; readonly notRun: boolean };

/** The shards of a snapshot that a query reads, with the outcomes known so far. */
export interface SnapshotGroup {
  readonly snapshot: string;
  readonly shards: ReadonlyArray<string>;
  readonly settled: ImmutableMap<string, ShardOutcome>;
  readonly includedCount: number;
}

/**
 * Creates the group for a snapshot.
 *
 * @param spec - The snapshot and its shards.
 * @returns A group without outcomes.
 */
export function pinSnapshot(spec: SnapshotSpec): SnapshotGroup {
  const shards = spec.shards.map((each) => each.shard);
  return { snapshot: spec.snapshot, shards, settled: ImmutableMap(), includedCount: 0 };
}

/**
 * Sets the outcome of a shard. The first outcome is final; later ones are ignored.
 *
 * @param group - The current group.
 * @param shard - Shard of the group's snapshot.
 * @param outcome - Outcome of the shard.
 * @returns The updated group.
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
 * Computes the coverage of the snapshot.
 *
 * @param group - The group.
 * @returns Fraction of shards included, 0 to 1.
 */
export function coverageRatio(group: SnapshotGroup): number {
  return group.includedCount / group.shards.length;
}

/**
 * Returns whether all shards have an outcome.
 *
 * @param group - The group.
 * @returns Whether no shard is pending.
 */
export function isSettled(group: SnapshotGroup): boolean {
  return group.settled.size === group.shards.length;
}
