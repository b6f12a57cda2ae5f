/**
 * Computes coverage, rows and outcome of a query from the outcomes of its shards.
 *
 * @module
 */
import type {
  Coverage,
  MergeSpec,
  MissingReason,
  MissingShard,
  Outcome,
  Row,
} from "../model/mod.js";
import { mergeRows } from "./merge_rows.js";
import type { SnapshotGroup } from "./snapshot_group.js";

/** Summary of a group, as returned in the answer. */
export interface GroupSummary {
  readonly outcome: Outcome;
  /** Whether the query is known not to have run on any shard. */
  readonly notRun: boolean;
  readonly coverage: Coverage;
  readonly rows: ReadonlyArray<Row>;
}

/** Options for `summariseGroup()`. */
export interface SummariseOptions {
  readonly merge: MergeSpec;
  /** Reason reported for shards without an outcome. */
  readonly unsettledReason: MissingReason;
  /** Returns whether nothing has been sent to a shard without an outcome. */
  readonly unsettledNotRun: (shard: string) => boolean;
}

/**
 * Summarises a group. Coverage reflects the rows that were merged, not the shards that were called.
 *
 * @param group - The group.
 * @param options - Merge options and treatment of shards without an outcome.
 * @returns The summary; each shard of the group is either included or lacking.
 */
export function summariseGroup(group: SnapshotGroup, options: SummariseOptions): GroupSummary {
  const included: Array<string> = [];
  const lacking: Array<MissingShard> = [];
  const parts: Array<ReadonlyArray<Row>> = [];
  for (const shard of group.shards) {
    const outcome = group.settled.get(shard);
    if (outcome?.kind === "included") {
      included.push(shard);
      parts.push(outcome.rows);
    } else if (outcome?.kind === "lacking") {
      lacking.push({ shard, reason: outcome.reason, notRun: outcome.notRun });
    } else {
      const notRun = options.unsettledNotRun(shard);
      lacking.push({ shard, reason: options.unsettledReason, notRun });
    }
  }
  const notRun = included.length === 0 && lacking.every((each) => each.notRun);
  const outcome = outcomeOf({ included: included.length, all: group.shards.length, notRun });
  return {
    outcome,
    notRun,
    coverage: { included, lacking },
    rows: mergeRows(parts, options.merge),
  };
}

interface OutcomeFacts {
  readonly included: number;
  readonly all: number;
  readonly notRun: boolean;
}

function outcomeOf({ included, all, notRun }: OutcomeFacts): Outcome {
  if (included === all) {
    return "complete";
  }
  if (included > 0) {
    return "partial";
  }
  return notRun ? "refused" : "unknown";
}
