/**
 * Events and effects of the pool's core: its ports to entries, leafs and peers.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import type { ControlEffect, ControlEvent, ControlTimer } from "../control/mod.js";
import type { SetTimerEffect, TelemetryEffect } from "../core/mod.js";
import type { CallResult, LeafCall, LeafReport } from "../entry/entry_messages.js";
import type { MissingReason } from "../model/mod.js";

/** State that a leaf signals of itself. */
export type LeafSignal = "ready" | "cold" | "draining";

/** One call as it goes to a leaf. */
export interface Dispatch {
  readonly flightId: string;
  readonly leaf: Leaf;
  readonly snapshot: string;
  readonly shard: string;
  readonly bodyJson: string;
  readonly rights: string;
  readonly priorityRank: number;
  readonly timeoutMs: number;
}

/** What became of a dispatched call at its leaf. */
export type LeafOutcome =
  | {
      readonly kind: "answered";
      readonly snapshot: string;
      readonly shard: string;
      readonly rowCount: number;
      readonly rowsJson: string;
    }
  | {
      readonly kind: "refused";
      readonly reason: MissingReason;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: "failed";
      readonly reason: MissingReason;
      /** Whether no byte of the call can have reached the leaf. */
      readonly notSent: boolean;
    };

/** What happens to a pool. */
export type PoolEvent =
  | ControlEvent
  | {
      readonly kind: "callsArrived";
      readonly nowMs: number;
      readonly entryId: string;
      readonly calls: ReadonlyArray<LeafCall>;
      readonly cancelledCallIds: ReadonlyArray<string>;
    }
  | { readonly kind: "entryOpened"; readonly nowMs: number; readonly entryId: string }
  | { readonly kind: "entryLost"; readonly nowMs: number; readonly entryId: string }
  | {
      readonly kind: "leafAnswered";
      readonly nowMs: number;
      readonly flightId: string;
      readonly outcome: LeafOutcome;
      /** State that the leaf signalled with its answer, if any. */
      readonly signal: LeafSignal | undefined;
    }
  | {
      readonly kind: "leafProbed";
      readonly nowMs: number;
      readonly leafKey: string;
      /** Nothing where the leaf did not answer. */
      readonly signal: LeafSignal | undefined;
    };

/** What a pool's core asks for. */
export type PoolEffect =
  | ControlEffect
  | TelemetryEffect
  | SetTimerEffect<ControlTimer>
  | { readonly kind: "dispatch"; readonly dispatch: Dispatch }
  | { readonly kind: "cancelDispatch"; readonly flightId: string; readonly leaf: Leaf }
  | {
      readonly kind: "reply";
      readonly entryId: string;
      readonly results: ReadonlyArray<CallResult>;
      readonly reports: ReadonlyArray<LeafReport>;
    }
  | { readonly kind: "probeLeafs"; readonly leafs: ReadonlyArray<Leaf> };
