/**
 * The protocol of leafs: names of headers and paths, and how their answers are read.
 *
 * A call is `POST /query` with a JSON body; the answer is a JSON array of rows with the snapshot,
 * the shard and the number of rows in headers. A refusal carries a status and a JSON body that says
 * why; by it the call has not run. `POST /cancel` takes a call back, `GET /load` tells the leaf's
 * state.
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

/** Largest answer taken from a leaf, in bytes. */
export const MAX_ANSWER_BYTES = 8_000_000;

/** A leaf's answer as it came. */
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

/** Status codes of answers that may be refusals before running. */
const REFUSAL_CODES: ReadonlySet<number> = new Set([409, 429, 499, 503]);

/**
 * Reads a leaf's answer.
 *
 * @param answer - The answer as it came.
 * @returns What became of the call; whatever does not fit the protocol may have run.
 */
export function readLeafAnswer(answer: RawLeafAnswer): LeafOutcome {
  if (answer.statusCode === 200) {
    return readRows(answer);
  }
  const refusal = REFUSAL_CODES.has(answer.statusCode) ? readRefusal(answer.text) : undefined;
  return refusal ?? { kind: "failed", reason: "leaf failed", notSent: false };
}

function readRows({ headers, text }: RawLeafAnswer): LeafOutcome {
  const rowCount = Number(headers[LEAF_HEADERS.rowCount]);
  const snapshot = headers[LEAF_HEADERS.snapshot];
  const shard = headers[LEAF_HEADERS.shard];
  const named = typeof snapshot === "string" && typeof shard === "string";
  return named && Number.isInteger(rowCount) && rowCount >= 0
    ? { kind: "answered", snapshot, shard, rowCount, rowsJson: text }
    : { kind: "failed", reason: "malformed answer", notSent: false };
}

function readRefusal(text: string): LeafOutcome | undefined {
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
 * Reads the state that a leaf signals.
 *
 * @param value - Value of the header or of the field.
 * @returns The signal, or nothing where it is not one.
 */
export function readSignal(value: unknown): LeafSignal | undefined {
  return typeof value === "string" && SIGNALS.has(value) ? (value as LeafSignal) : undefined;
}
