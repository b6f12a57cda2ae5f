/**
 * A caller's query, its answer, and the shard coverage of the answer.
 *
 * @module
 */

/** Query priorities and their ranks; a lower rank is more urgent. */
export const PRIORITY_RANKS = { urgent: 0, high: 1, normal: 2, low: 3 } as const;

/** Name of a priority. */
export type Priority = keyof typeof PRIORITY_RANKS;

/** How rows from several shards are merged. */
export interface MergeSpec {
  /** Numeric or text field to order rows by; if absent, rows keep the order of the shards. */
  readonly orderBy?: string | undefined;
  /** Whether larger values come first. */
  readonly descending?: boolean | undefined;
  /** Maximum number of rows in the answer; unlimited if absent. */
  readonly limitRows?: number | undefined;
}

/** A query as sent by a caller. */
export interface QueryRequest {
  /** Service that the query is for. */
  readonly service: string;
  /** Name of the caller; rate limits apply per caller name. */
  readonly caller: string;
  /** Authorization scope; identical sub-requests are shared only within one scope. */
  readonly rights: string;
  /** Time limit for the answer, in milliseconds from arrival. */
  readonly deadlineMs: number;
  readonly priority: Priority;
  /** Fraction of shards, 0 to 1, that the caller wants in the answer. */
  readonly wantedCoverage: number;
  /** Whether the query is idempotent and may run more than once. */
  readonly repeatable: boolean;
  /** Ticket that ensures a non-repeatable query runs at most once. */
  readonly ticket?: string | undefined;
  /** Sequence number of the query within its ticket, assigned by the caller from 1. */
  readonly sequence?: number | undefined;
  readonly merge: MergeSpec;
  /** Body that is passed on to the leafs; opaque to rackvale. */
  readonly body: unknown;
}

/** Outcome of a query. */
export type Outcome = "complete" | "partial" | "refused" | "unknown";

/** Why a shard is missing from an answer. */
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

/** A shard that is missing from an answer. */
export interface MissingShard {
  readonly shard: string;
  /** Why the shard's rows are missing. */
  readonly reason: MissingReason;
  /** Whether the query is known not to have run on the shard. */
  readonly notRun: boolean;
}

/** Which shards of the answer's snapshot are included and which are missing. */
export interface Coverage {
  /** Shards whose rows are in the answer. */
  readonly included: ReadonlyArray<string>;
  /** Shards whose rows are missing. */
  readonly lacking: ReadonlyArray<MissingShard>;
}

/** A row as returned by a leaf. */
export type Row = Readonly<Record<string, unknown>>;

/** The answer to one query. */
export interface QueryAnswer {
  readonly outcome: Outcome;
  /** Whether the query is known not to have run anywhere. */
  readonly notRun: boolean;
  /** HTTP status code of the answer. */
  readonly statusCode: number;
  /** Explains a refusal or an unknown outcome; empty otherwise. */
  readonly message: string;
  /** Snapshot that all rows were read from; empty if nothing was read. */
  readonly snapshot: string;
  readonly coverage: Coverage;
  readonly rows: ReadonlyArray<Row>;
  /** Time after which a retry may succeed, in milliseconds; 0 if a retry would not help. */
  readonly retryAfterMs: number;
  /** Revision of the service configuration that the query ran with. */
  readonly revision: number;
  /** Time since the platform last confirmed this box's configuration, in milliseconds. */
  readonly confirmedAgoMs: number;
}
