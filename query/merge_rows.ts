/**
 * Merges rows from several shards.
 *
 * @module
 */
import type { MergeSpec, Row } from "../model/mod.js";

/**
 * Merges rows in the order of the shards, or ordered by a field with ties in the order of the
 * shards.
 *
 * @param parts - Rows of each shard, in the order of the snapshot's shards.
 * @param merge - Field to order by and maximum number of rows.
 * @returns The merged rows; rows without the field come last.
 */
export function mergeRows(
  parts: ReadonlyArray<ReadonlyArray<Row>>,
  merge: MergeSpec,
): ReadonlyArray<Row> {
  const rows = parts.flat();
  const { orderBy, descending = false, limitRows = rows.length } = merge;
  if (orderBy === undefined) {
    return rows.slice(0, limitRows);
  }
  const sign = descending ? -1 : 1;
  return rows.toSorted((a, b) => compareValues(a[orderBy], b[orderBy], sign)).slice(0, limitRows);
}

function compareValues(a: unknown, b: unknown, sign: number): number {
  const rankA = typeRank(a);
  const rankB = typeRank(b);
  if (rankA !== rankB) {
    return rankA - rankB;
  }
  if (rankA === UNORDERED_RANK || a === b) {
    return 0;
  }
  return (a as number | string) < (b as number | string) ? -sign : sign;
}

const UNORDERED_RANK = 2;

function typeRank(value: unknown): number {
  if (typeof value === "number") {
    return 0;
  }
  return typeof value === "string" ? 1 : UNORDERED_RANK;
}
