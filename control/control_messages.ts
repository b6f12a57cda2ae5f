/**
 * Events and effects of the control slice.
 *
 * @module
 */
import type { SetTimerEffect, TelemetryEffect } from "../core/mod.js";
import type { BoxList, CatalogObject, Member } from "../model/mod.js";

/** An object's key and revision, to compare catalogs by. */
export interface ObjectRevision {
  readonly key: string;
  readonly revision: number;
}

/** State that one daemon sends to another in an exchange. */
export interface Exchange {
  readonly self: Member;
  readonly members: ReadonlyArray<Member>;
  readonly catalogHash: number;
  /** Revisions that the receiver may lack: all if catalogs differ, those just applied, or none. */
  readonly revisions: ReadonlyArray<ObjectRevision>;
  /** Milliseconds since the sender's catalog was confirmed to match the platform's. */
  readonly confirmedAgoMs: number;
  /** Whether the sender requests all members. */
  readonly joining: boolean;
}

/** Address at which other daemons reach a daemon. */
export interface PeerAddress {
  readonly address: string;
  readonly peerPort: number;
}

/** Timers of the control slice. */
export type ControlTimer =
  | { readonly kind: "controlTick" }
  | { readonly kind: "addressListExpiry" };

/** Events of the control slice. */
export type ControlEvent =
  | { readonly kind: "started"; readonly nowMs: number }
  | { readonly kind: "controlTick"; readonly nowMs: number }
  | { readonly kind: "addressListExpiry"; readonly nowMs: number }
  | {
      readonly kind: "platformAnswered";
      readonly nowMs: number;
      readonly objects: ReadonlyArray<CatalogObject>;
      readonly boxList: BoxList | undefined;
      /** Whether all objects are known after this answer; false for the box list alone. */
      readonly complete: boolean;
    }
  | { readonly kind: "platformFailed"; readonly nowMs: number; readonly message: string }
  | {
      readonly kind: "exchangeArrived";
      readonly nowMs: number;
      readonly requestId: number;
      readonly exchange: Exchange;
    }
  | {
      readonly kind: "exchangeAnswered";
      readonly nowMs: number;
      readonly peer: PeerAddress;
      readonly exchange: Exchange;
    }
  | { readonly kind: "exchangeFailed"; readonly nowMs: number; readonly memberId: string }
  | {
      readonly kind: "objectsFetched";
      readonly nowMs: number;
      readonly objects: ReadonlyArray<CatalogObject>;
    }
  | {
      readonly kind: "objectAccepted";
      readonly nowMs: number;
      readonly object: CatalogObject;
    }
  | { readonly kind: "stopRequested"; readonly nowMs: number };

/** Effects of the control slice. */
export type ControlEffect =
  | SetTimerEffect<ControlTimer>
  | TelemetryEffect
  | {
      readonly kind: "exchange";
      readonly peer: PeerAddress;
      /** Expected member; empty for an address known only from the box list or the settings. */
      readonly memberId: string;
      readonly exchange: Exchange;
    }
  | { readonly kind: "replyExchange"; readonly requestId: number; readonly exchange: Exchange }
  | {
      readonly kind: "fetchObjects";
      readonly peer: PeerAddress;
      readonly keys: ReadonlyArray<string>;
    }
  | { readonly kind: "watchPlatform"; readonly enabled: boolean }
  | { readonly kind: "stop" };
