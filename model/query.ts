/**
 * A caller's query, the answer it gets, and the coverage that the answer states.
 *
 * @module
 */

/** Priorities a caller may ask for, most urgent first. */
export const PRIORITY_RANKS = { urgent: 0, high: 1, normal: 2, low: 3 } as const;

/** Name of a priority. */
export type Priority = keyof typeof PRIORITY_RANKS;

/** How rows of several shards are put together. */
export interface MergeSpec {
  /** Numeric or text field of a row to order by; without one, rows keep the order of the shards. */
  readonly orderBy?: string | undefined;
  /** Whether larger values come first. */
  readonly descending?: boolean | undefined;
  /** Most rows that the answer holds; without one, all. */
  readonly limitRows?: number | undefined;
}

/** One query as a caller sends it. */
export interface QueryRequest {
  /** Service that is asked. */
  readonly service: string;
  /** Who asks; limits per caller count by this name. */
  readonly caller: string;
  /** Scope of rights; identical sub-requests are shared only within one scope. */
  readonly rights: string;
  /** Milliseconds from arrival after which the answer is of no use. */
  readonly deadlineMs: number;
  /** Urgency of the query. */
  readonly priority: Priority;
  /** Share of shards, 0 to 1, that the caller wants covered. */
  readonly wantedCoverage: number;
  /** Whether running the query twice is harmless. */
  readonly repeatable: boolean;
  /** Ticket of a query that is not repeatable. */
  readonly ticket?: string | undefined;
  /** Number of the query under its ticket, counted up by the caller from 1. */
  readonly sequence?: number | undefined;
  /** How rows are merged. */
  readonly merge: MergeSpec;
  /** What the leafs are asked; opaque to rackvale. */
  readonly body: unknown;
}

/** What became of a query. */
export type Outcome = "complete" | "partial" | "refused" | "unknown";

/** Why a shard is lacking from an answer. */
export type MissingReason =
  | "deadline"
  | "early finish"
  | "overloaded"
  | "no replica"
  | "leaving"
  | "wrong snapshot"
  | "not held"
  | "malformed answer"
  | "leaf failed"
  | "pool lost"
  | "caller gone";

/** A shard that an answer lacks, and why. */
export interface MissingShard {
  /** Name of the shard. */
  readonly shard: string;
  /** Why its rows are not in the answer. */
  readonly reason: MissingReason;
  /** Whether the shard's part is known not to have run. */
  readonly notRun: boolean;
}

/** Which shards of the answer's snapshot it includes and which it lacks. */
export interface Coverage {
  /** Shards whose rows are in the answer. */
  readonly included: ReadonlyArray<string>;
  /** Shards whose rows are not. */
  readonly lacking: ReadonlyArray<MissingShard>;
}

/** A row as a leaf gave it. */
export type Row = Readonly<Record<string, unknown>>;

/** The answer to one query. */
export interface QueryAnswer {
  /** What became of the query. */
  readonly outcome: Outcome;
  /** Whether the query is known not to have run anywhere. */
  readonly notRun: boolean;
  /** HTTP status code that carries the answer. */
  readonly statusCode: number;
  /** One sentence on a refusal or an unknown outcome; empty otherwise. */
  readonly message: string;
  /** Snapshot that every row was read at; empty when nothing was read. */
  readonly snapshot: string;
  /** Included and lacking shards of that snapshot. */
  readonly coverage: Coverage;
  /** Merged rows. */
  readonly rows: ReadonlyArray<Row>;
  /** Milliseconds after which asking again may help; 0 when it is of no use to wait. */
  readonly retryAfterMs: number;
  /** Revision of the service's configuration that the query ran under. */
  readonly revision: number;
  /** Milliseconds since this box last knew its configuration confirmed by the platform. */
  readonly confirmedAgoMs: number;
}
