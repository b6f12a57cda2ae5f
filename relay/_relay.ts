/**
 * Interfaces shared by the handlers of relay requests.
 *
 * @module
 */

import type { LeafCalls } from "../calls/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { Distance, Leaf, LeafTable } from "../leafs/mod.js";

/** Options of the relay server. */
export interface RelayServerOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly distance: (leaf: Leaf) => Distance;
  /** Decides which leafs may be called. */
  readonly access: Pick<LeafAccess, "blockReasonForLeaf" | "isCold">;
  /** Called with the number of parts sent. */
  readonly onParts: (count: number) => void;
}

/** A relay request in progress. */
export interface Relay {
  start(): void;
  /** Abandons the open calls, as the requesting box has disconnected or needs no more parts. */
  stop(): void;
}
