/**
 * A call to a leaf.
 *
 * @module
 */

import type { Leaf } from "../leafs/mod.js";
import type { AcceptedRoute } from "../routing/mod.js";

/**
 * A caller's request as leafs receive it, whether this box calls them or another one does on its
 * behalf.
 */
export interface LeafRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with query string, exactly as received from the caller. */
  readonly path: string;
  /** The caller's headers that are passed on: alternating names and values. */
  readonly headers: ReadonlyArray<string>;
  /** The caller's bytes; `undefined` if the request has no body, which differs from an empty one. */
  readonly body: Buffer | undefined;
}

/** A call to be made. */
export interface LeafCall extends LeafRequest {
  readonly leaf: Leaf;
  /** What the request was accepted under; the same object for all its calls. */
  readonly acceptedRoute: AcceptedRoute;
  /** Identifies the query: equal for all requests with the same content. */
  readonly fingerprint: string;
  /** Whether it is a trial call, the only call of a suspected query in flight. */
  readonly isTrial: boolean;
  /** Whether it is the first call of its request to the service, and no retry or hedge. */
  readonly isFirst: boolean;
  /** Maximum length of the answer, in bytes. */
  readonly maxBytes: number;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Time after which the answer is of no use, on this box's clock. */
  readonly deadlineAtMs: number;
}

/**
 * Maximum total length of the answers of one request, in bytes: a fraction of the smallest box's
 * memory. An endless answer would otherwise use up the box's memory, and the caller would repeat
 * the request at the next box.
 */
const MAX_REQUEST_BYTES = 48 * 1_048_576;

/**
 * Computes the maximum length of the answer to one call, so that the total of a request is bounded.
 *
 * @param shardCount - Number of shards of the request.
 * @returns The length, in bytes.
 */
export function maxAnswerBytes(shardCount: number): number {
  return Math.floor(MAX_REQUEST_BYTES / Math.max(1, shardCount));
}
