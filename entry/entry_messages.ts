/**
 * Events and effects of the entry's core: its ports to callers, pools and peers.
 *
 * @module
 */
import type { ControlEffect, ControlEvent, ControlTimer } from "../control/mod.js";
import type { ClearTimerEffect, SetTimerEffect, TelemetryEffect } from "../core/mod.js";
import type { Member, MissingReason, QueryAnswer, QueryRequest } from "../model/mod.js";

/** A call to a leaf, as sent to the pool that owns the leaf. */
export interface LeafCall {
  readonly callId: string;
  readonly service: string;
  readonly leafId: string;
  readonly snapshot: string;
  readonly shard: string;
  readonly remainingMs: number;
  readonly priorityRank: number;
  readonly repeatable: boolean;
  /** Scope of rights of the call; only calls of the same scope are shared. */
  readonly rights: string;
  readonly bodyJson: string;
}

/** Result of a call. */
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
      /** Failed, and may have run. */
      readonly kind: "failed";
      readonly callId: string;
      readonly reason: MissingReason;
    };

/** A pool's report on one of its leafs. */
export interface LeafReport {
  readonly service: string;
  readonly leafId: string;
  /** Time that a new call would wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** Mean duration of a call once it has a slot, in milliseconds. */
  readonly serviceTimeMs: number;
  /** Whether the leaf accepts new calls. */
  readonly available: boolean;
}

/** Timers of the entry's core. */
export type EntryTimer =
  | ControlTimer
  | { readonly kind: "startNext" }
  | { readonly kind: "queryDeadline"; readonly id: string }
  | { readonly kind: "hedge"; readonly id: string }
  | { readonly kind: "poolWait"; readonly id: string };

/** Events of the entry's core. */
export type EntryEvent =
  | ControlEvent
  | {
      readonly kind: "queryArrived";
      readonly nowMs: number;
      readonly queryId: string;
      readonly request: QueryRequest;
      /** Whether the query was forwarded by another entry. */
      readonly forwarded: boolean;
    }
  | { readonly kind: "callerGone"; readonly nowMs: number; readonly queryId: string }
  | { readonly kind: "ticketWanted"; readonly nowMs: number; readonly requestId: string }
  | { readonly kind: "startNext"; readonly nowMs: number }
  | { readonly kind: "poolWait"; readonly nowMs: number; readonly id: string }
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
      /** Reply to a loan request; zero tokens if the lender had none or did not answer. */
      readonly kind: "loanArrived";
      readonly nowMs: number;
      readonly service: string;
      readonly tokens: number;
    };

/** Effects of the entry's core. */
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
  /** Callers' cached address lists have expired, so that no new connections are accepted. */
  | { readonly kind: "closeListener" }
  | { readonly kind: "openPools"; readonly pools: ReadonlyArray<Member> }
  | {
      readonly kind: "borrow";
      readonly lender: Member;
      readonly service: string;
      readonly tokens: number;
    }
  | { readonly kind: "replyBorrow"; readonly requestId: number; readonly tokens: number };
