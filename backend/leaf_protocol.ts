/**
 * HTTP protocol of leafs: headers, paths and parsing of answers.
 *
 * A call is `POST /query` with a JSON body. The answer is a JSON array of rows, with the snapshot,
 * the shard and the number of rows in headers. A refusal has an error status and a JSON body with
 * the reason, and means that the call was not run. `POST /cancel` cancels a call, and `GET /load`
 * returns the state of the leaf.
 *
 * @module
 */
import type { MissingReason } from "../model/mod.js";
import type { LeafOutcome, LeafSignal } from "../pool/pool_messages.js";

/** Headers of requests and answers. */
export const LEAF_HEADERS = {
  callId: "leaf-call-id",
  deadlineMs: "leaf-deadline-ms",
  priority: "leaf-priority",
  rights: "leaf-rights",
  snapshot: "leaf-snapshot",
  shard: "leaf-shard",
  rowCount: "leaf-row-count",
  state: "leaf-state",
} as const;

/** Paths of a leaf. */
export const LEAF_PATHS = { query: "/query", cancel: "/cancel", load: "/load" } as const;

/** Maximum size of an answer, in bytes. */
export const MAX_ANSWER_BYTES = 8_000_000;

/** Unparsed answer of a leaf. */
export interface RawLeafAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly text: string;
}

const REFUSAL_REASONS: Readonly<Record<string, MissingReason>> = {
  "wrong snapshot": "wrong snapshot",
  "not held": "not held",
  overloaded: "overloaded",
  leaving: "leaving",
  cold: "no replica",
  cancelled: "caller gone",
};

/** Status codes of answers that may state that the call was not run. */
const REFUSAL_STATUS_CODES: ReadonlySet<number> = new Set([409, 429, 499, 503]);

/**
 * Parses the answer of a leaf. An answer that violates the protocol counts as a failure of a call
 * that may have run.
 *
 * @param answer - The unparsed answer.
 * @returns The outcome of the call.
 */
export function parseLeafAnswer(answer: RawLeafAnswer): LeafOutcome {
  if (answer.statusCode === 200) {
    return parseRows(answer);
  }
  const refusal = REFUSAL_STATUS_CODES.has(answer.statusCode)
    ? parseRefusal(answer.text)
    : undefined;
  return refusal ?? { kind: "failed", reason: "leaf failed", notSent: false };
}

function parseRows({ headers, text }: RawLeafAnswer): LeafOutcome {
  const rowCount = Number(headers[LEAF_HEADERS.rowCount]);
  const snapshot = headers[LEAF_HEADERS.snapshot];
  const shard = headers[LEAF_HEADERS.shard];
  const isIdentified = typeof snapshot === "string" && typeof shard === "string";
  return isIdentified && Number.isInteger(rowCount) && rowCount >= 0
    ? { kind: "answered", snapshot, shard, rowCount, rowsJson: text }
    : { kind: "failed", reason: "malformed answer", notSent: false };
}

function parseRefusal(text: string): LeafOutcome | undefined {
  try {
    const body = JSON.parse(text) as Readonly<Record<string, unknown>> | null;
    const reason = REFUSAL_REASONS[String(body?.reason)];
    if (reason === undefined || body?.notRun !== true) {
      return undefined;
    }
    const retryAfterMs = Math.max(0, Number(body.retryAfterMs) || 0);
    return { kind: "refused", reason, retryAfterMs };
  } catch {
    return undefined;
  }
}

const SIGNALS: ReadonlySet<string> = new Set(["ready", "cold", "draining"]);

/**
 * Parses the state that a leaf reports.
 *
 * @param value - Value of the header or of the JSON field.
 * @returns The state, or undefined if the value is not a known state.
 */
export function parseSignal(value: unknown): LeafSignal | undefined {
  return typeof value === "string" && SIGNALS.has(value) ? (value as LeafSignal) : undefined;
}
