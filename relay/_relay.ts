/**
 * What all kinds of orders share while they are answered.
 *
 * @module
 */

import type { LeafCalls } from "../calls/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { Distance, Leaf, LeafTable } from "../leafs/mod.js";

/** What the server needs of its box. */
export interface RelayServerOptions {
  readonly nowMs: () => number;
  /** Stands still while this box is busy. */
  readonly eventLoopIdleMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly distance: (leaf: Leaf) => Distance;
  /** Tells which leafs may be called; by what this box knows itself. */
  readonly access: Pick<LeafAccess, "blockReasonForLeaf" | "isCold">;
  /** Told how many parts were handed over. */
  readonly onParts: (count: number) => void;
}

/** An order under way. */
export interface Relay {
  start(): void;
  /** Ends the calls that are open; the box that asked has gone or has all it wanted. */
  stop(): void;
}
