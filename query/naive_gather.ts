/**
 * Reference implementation of scatter-gather over a complete set of answers, for comparison with
 * the engine.
 *
 * @module
 */
import type { Coverage, MergeSpec, Row } from "../model/mod.js";
import { mergeRows } from "./merge_rows.js";

/** The answer of one leaf. */
export interface GatheredAnswer {
  readonly snapshot: string;
  readonly shard: string;
  readonly rows: ReadonlyArray<Row>;
}

/**
 * Merges the first answer of each shard for the given snapshot.
 *
 * @param shards - All shards of the snapshot.
 * @param answers - Answers in order of arrival.
 * @param options - Snapshot to read and merge options.
 * @returns Rows and coverage; missing shards always have the reason "no replica".
 */
export function naiveGather(
  shards: ReadonlyArray<string>,
  answers: ReadonlyArray<GatheredAnswer>,
  { snapshot, merge }: { readonly snapshot: string; readonly merge: MergeSpec },
): { readonly rows: ReadonlyArray<Row>; readonly coverage: Coverage } {
  const parts = shards.map((shard) => ({
    shard,
    answer: answers.find((each) => each.shard === shard && each.snapshot === snapshot),
  }));
  const included = parts.filter((part) => part.answer !== undefined).map((part) => part.shard);
  const lacking = parts
    .filter((part) => part.answer === undefined)
    .map((part) => ({ shard: part.shard, reason: "no replica" as const, notRun: true }));
  const rows = mergeRows(
    parts.map((part) => part.answer?.rows ?? []),
    merge,
  );
  return { rows, coverage: { included, lacking } };
}
