/**
 * Events and effects of the pool's core.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import type { ControlEffect, ControlEvent, ControlTimer } from "../control/mod.js";
import type { SetTimerEffect, TelemetryEffect } from "../core/mod.js";
import type { CallResult, LeafCall, LeafReport } from "../entry/entry_messages.js";
import type { MissingReason } from "../model/mod.js";

/** State that a leaf reports about itself. */
export type LeafSignal = "ready" | "cold" | "draining";

/** A call to be sent to a leaf. */
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

/** Outcome of a dispatched call. */
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
      /** Whether it is certain that no byte of the call was sent. */
      readonly notSent: boolean;
    };

/** Events handled by the pool's core. */
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
      /** Time for which the pool was stalled since it sent the call, in milliseconds. */
      readonly stalledMs: number;
      readonly outcome: LeafOutcome;
      /** State reported with the answer, if any. */
      readonly signal: LeafSignal | undefined;
    }
  | {
      readonly kind: "leafProbed";
      readonly nowMs: number;
      readonly leafKey: string;
      /** Undefined if the leaf did not answer. */
      readonly signal: LeafSignal | undefined;
    };

/** Effects requested by the pool's core. */
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
