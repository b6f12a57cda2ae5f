/**
 * A call to a leaf, as it is asked for.
 *
 * @module
 */

import type { Leaf } from "../leafs/mod.js";
import type { RouteKey } from "../routing/mod.js";

/** A call to be made. */
export interface LeafCall {
  readonly leaf: Leaf;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** The caller's headers that are passed on, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly body: Buffer | undefined;
  /** Host and path of the request; the same object for all its calls. */
  readonly routeKey: RouteKey;
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** Whether it is the only call of a query under which leafs were lost. */
  readonly isTrial: boolean;
  /** Longest answer that is taken, in bytes. */
  readonly maxBytes: number;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Moment at which the answer is of no more use, on this box's clock. */
  readonly deadlineAtMs: number;
}

/**
 * Longest answers of one request that a box holds together, in bytes: a fifth of the least memory of a box, where
 * parts of a query come to some 130 KB and single answers to less. One without an end took 1 GB within two
 * seconds, and the caller would have turned to the next box.
 */
const MOST_REQUEST_BYTES = 48 * 1_048_576;

/**
 * Tells how long the answer to one call may be, so that all of a request's together are bounded.
 *
 * @param shardCount - Shards of the request.
 * @returns The length, in bytes.
 */
export function maxAnswerBytes(shardCount: number): number {
  return Math.floor(MOST_REQUEST_BYTES / Math.max(1, shardCount));
}
