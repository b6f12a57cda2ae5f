/**
 * Persistent objects: stored in the platform's object API and replicated to every daemon.
 *
 * @module
 */

/** Kinds of catalog objects. */
export type ObjectKind = "service" | "shardmap" | "boxlist";

/** One entry of an object's change history. */
export interface HistoryEntry {
  /** Revision that the change created. */
  readonly revision: number;
  /** Id of the submission that made the change. */
  readonly submissionId: string;
  /** Operator who submitted the change. */
  readonly author: string;
  /** Wall-clock time of the submission, in milliseconds since the epoch. For display only. */
  readonly submittedAtEpochMs: number;
}

/** An object with its revision; when copies differ, the one with the higher revision wins. */
export interface CatalogObject {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Increases by one with each accepted change; never decreases. */
  readonly revision: number;
  /** Tombstone: the object was deleted. Kept so that an outdated copy cannot restore the object. */
  readonly deleted: boolean;
  /** Most recent changes, newest first; at most `HISTORY_ENTRIES`. */
  readonly history: ReadonlyArray<HistoryEntry>;
  /** A `ServiceConfig`, `ShardMap` or `BoxList`, validated when it is received. */
  readonly value: unknown;
}

/** Maximum number of entries in an object's history. */
export const HISTORY_ENTRIES = 20;

/** One box in the platform's box list. */
export interface BoxListEntry {
  readonly box: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Whether the platform has marked the box for removal. */
  readonly leaving: boolean;
  /** Peer port of the box's entry daemon; 0 if it runs none. */
  readonly entryPeerPort: number;
  /** Peer port of the box's pool daemon; 0 if it runs none. */
  readonly poolPeerPort: number;
}

/** The platform's box list as last read; it may be out of date. */
export interface BoxList {
  /** Version of the list, incremented by the platform with each change. */
  readonly version: number;
  readonly boxes: ReadonlyArray<BoxListEntry>;
}
