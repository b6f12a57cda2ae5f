/**
 * A call to a leaf, as it is asked for.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";

/** A call to be made. */
export interface LeafCall {
  readonly leaf: Leaf;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** The caller's headers that are passed on, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly body: Buffer | undefined;
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** Whether it is the only call of a query under which leafs were lost. */
  readonly isTrial: boolean;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Moment at which the answer is of no more use, on this box's clock. */
  readonly deadlineAtMs: number;
}
