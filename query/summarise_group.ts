/**
 * Turns what became of a snapshot's shards into coverage, rows and an outcome.
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

/** What an answer says of its group. */
export interface GroupSummary {
  readonly outcome: Outcome;
  /** Whether every part of the query is known not to have run. */
  readonly notRun: boolean;
  readonly coverage: Coverage;
  readonly rows: ReadonlyArray<Row>;
}

/** How a group is summed up. */
export interface SummariseOptions {
  readonly merge: MergeSpec;
  /** Why shards that are not settled are lacking. */
  readonly unsettledReason: MissingReason;
  /** Tells whether nothing of a shard that is not settled has been sent. */
  readonly unsettledNotRun: (shard: string) => boolean;
}

/**
 * Sums a group up. Coverage is computed from what is merged, not from what was asked.
 *
 * @param group - The group.
 * @param options - How rows are merged and what unsettled shards count as.
 * @returns The summary; included and lacking together are exactly the group's shards.
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
