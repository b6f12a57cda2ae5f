/**
 * Interfaces shared by the handlers of relay requests.
 *
 * @module
 */

import type { LeafCalls } from "../calls/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { Distance, Leaf, LeafTable } from "../leafs/mod.js";
import type { TransitDelays } from "./transit_delays.js";

/** A relay request that another box has sent. */
export interface ReceivedRelayRequest {
  readonly requestId: string;
  /** Time left as stated by the sender, in milliseconds. */
  readonly leftMs: number;
  /** Time for which the request was under way, in milliseconds. */
  readonly delayMs: number;
}

/** What relays use of their box. */
export interface RelayOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly distance: (leaf: Leaf) => Distance;
  /** Decides which leafs may be called. */
  readonly access: Pick<LeafAccess, "blockReasonForLeaf" | "isCold"> &
    Partial<Pick<LeafAccess, "preferredVersion">>;
  /** Called with the number of parts sent. */
  readonly onParts: (count: number) => void;
}

/** Options of the relay server. */
export interface RelayServerOptions extends RelayOptions {
  /** Returns whether requests are declined, as this box is about to exit. */
  readonly isDeclining: () => boolean;
  readonly delays: TransitDelays;
  /** Called with each request. */
  readonly onReceived: (received: ReceivedRelayRequest) => void;
}

/** A relay request in progress. */
export interface Relay {
  start(): void;
  /** Abandons the open calls, as the requesting box has disconnected or needs no more parts. */
  stop(): void;
}
