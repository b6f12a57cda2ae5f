/**
 * Events and effects of the entry's core: its ports to callers, pools and peers.
 *
 * @module
 */
import type { ControlEffect, ControlEvent, ControlTimer } from "../control/mod.js";
import type { ClearTimerEffect, SetTimerEffect, TelemetryEffect } from "../core/mod.js";
import type { Member, MissingReason, QueryAnswer, QueryRequest } from "../model/mod.js";

/** A call to a leaf as it goes to the pool that owns it. */
export interface LeafCall {
  readonly callId: string;
  readonly service: string;
  readonly leafId: string;
  readonly snapshot: string;
  readonly shard: string;
  readonly remainingMs: number;
  readonly priorityRank: number;
  readonly repeatable: boolean;
  /** Scope of rights that the leaf answers under; only calls of one scope are shared. */
  readonly rights: string;
  readonly bodyJson: string;
}

/** What became of a call. */
export type CallResult =
  | {
      readonly kind: "answered";
      readonly callId: string;
      readonly snapshot: string;
      readonly shard: string;
      readonly rowCount: number;
      readonly rowsJson: string;
    }
  | {
      /** Refused before it ran, or known not to have been sent. */
      readonly kind: "refused";
      readonly callId: string;
      readonly reason: MissingReason;
      readonly retryAfterMs: number;
    }
  | {
      /** It may have run. */
      readonly kind: "failed";
      readonly callId: string;
      readonly reason: MissingReason;
    };

/** How a pool sees one of its leafs. */
export interface LeafReport {
  readonly service: string;
  readonly leafId: string;
  /** Time a new call would wait for a slot. */
  readonly waitMs: number;
  /** Mean time a call takes once it has a slot. */
  readonly serviceTimeMs: number;
  /** Whether the leaf takes new calls. */
  readonly available: boolean;
}

/** Timers of the entry's own slices. */
export type EntryTimer =
  | ControlTimer
  | { readonly kind: "startNext" }
  | { readonly kind: "queryDeadline"; readonly id: string }
  | { readonly kind: "hedge"; readonly id: string };

/** What happens to an entry. */
export type EntryEvent =
  | ControlEvent
  | {
      readonly kind: "queryArrived";
      readonly nowMs: number;
      readonly queryId: string;
      readonly request: QueryRequest;
      /** Whether another entry passed the query on. */
      readonly forwarded: boolean;
    }
  | { readonly kind: "callerGone"; readonly nowMs: number; readonly queryId: string }
  | { readonly kind: "ticketWanted"; readonly nowMs: number; readonly requestId: string }
  | { readonly kind: "startNext"; readonly nowMs: number }
  | { readonly kind: "queryDeadline"; readonly nowMs: number; readonly id: string }
  | { readonly kind: "hedge"; readonly nowMs: number; readonly id: string }
  | { readonly kind: "poolOpened"; readonly nowMs: number; readonly poolId: string }
  | { readonly kind: "poolLost"; readonly nowMs: number; readonly poolId: string }
  | {
      readonly kind: "resultsArrived";
      readonly nowMs: number;
      readonly poolId: string;
      readonly results: ReadonlyArray<CallResult>;
      readonly reports: ReadonlyArray<LeafReport>;
    }
  | {
      readonly kind: "borrowArrived";
      readonly nowMs: number;
      readonly requestId: number;
      readonly service: string;
      readonly tokens: number;
    }
  | {
      /** A loan, or none: zero tokens when the lender had none or did not answer. */
      readonly kind: "loanArrived";
      readonly nowMs: number;
      readonly service: string;
      readonly tokens: number;
    };

/** What an entry's core asks for. */
export type EntryEffect =
  | ControlEffect
  | TelemetryEffect
  | SetTimerEffect<EntryTimer>
  | ClearTimerEffect<EntryTimer>
  | { readonly kind: "answer"; readonly queryId: string; readonly answer: QueryAnswer }
  | { readonly kind: "giveTicket"; readonly requestId: string; readonly ticket: string }
  | { readonly kind: "forward"; readonly queryId: string; readonly member: Member }
  | { readonly kind: "sendCall"; readonly poolId: string; readonly call: LeafCall }
  | { readonly kind: "cancelCall"; readonly poolId: string; readonly callId: string }
  | { readonly kind: "openPools"; readonly pools: ReadonlyArray<Member> }
  | {
      readonly kind: "borrow";
      readonly lender: Member;
      readonly service: string;
      readonly tokens: number;
    }
  | { readonly kind: "replyBorrow"; readonly requestId: number; readonly tokens: number };
