/**
 * States, events and effects of the coordination of one order.
 *
 * @module
 */
import type { LogEffect } from "../core/mod.js";
import type { Rollout, RolloutState, StorePosition } from "../model/mod.js";

/**
 * Whether this box coordinates: as the first in the order of all live boxes, as a substitute while
 * the first is gone, or not at all.
 */
export type CoordinatorRole = "first" | "substitute" | "none";

/** A box that may send calls. */
export interface RolloutMember {
  readonly box: string;
  readonly incarnation: string;
  readonly isDead: boolean;
}

/** The latest attempt that an incarnation of a box has confirmed. */
export interface RolloutConfirmation {
  readonly box: string;
  readonly incarnation: string;
  readonly attempt: number;
}

/** The leafs of a service as they concern an order. */
export interface RolloutLeafs {
  /** Number of listed leafs of the target version. */
  readonly targetCount: number;
  /**
   * Whether a leaf of the target is usable, and no route that is restricted to regions needs leafs
   * of other versions.
   */
  readonly canServeAlone: boolean;
  /** Versions of the other listed leafs, without retired ones. */
  readonly baselineVersions: ReadonlyArray<string>;
}

/** Calls of all boxes under an order. */
export interface RolloutLoad {
  /** First calls to the service; those after the deadline do not count. */
  readonly requests: number;
  /** Calls to the target, including retries and hedges. */
  readonly targetCalls: number;
  /** Current rate of first calls, per second. */
  readonly perSecond: number;
}

/** What this box knows of an order, whatever the state of its coordination. */
export interface RolloutFacts {
  readonly order: Rollout;
  /** Position of the object's last known change; `undefined` if only peers reported the order. */
  readonly revision: StorePosition | undefined;
  /** Share of the requests that the target may receive, 0 to 1. */
  readonly exposureShare: number;
  /** Calls to the target that are allowed in addition, over all boxes. */
  readonly exposureSlackCalls: number;
  /** Time of the last tick on this box's clock, in milliseconds. */
  readonly nowMs: number;
  /** Time at which this box learned of the order, in milliseconds. */
  readonly firstSeenAtMs: number;
  readonly role: CoordinatorRole;
  readonly members: ReadonlyArray<RolloutMember>;
  /** Number of boxes in the store's list; `undefined` while it is unknown. */
  readonly listedBoxes: number | undefined;
  readonly confirmations: ReadonlyArray<RolloutConfirmation>;
  readonly load: RolloutLoad;
  /** Total of requests at the start of the current measurement of their rate. */
  readonly loadSample: { readonly atMs: number; readonly requests: number };
  readonly leafs: RolloutLeafs;
  /** Whether the target has ever had a leaf. */
  readonly hadTarget: boolean;
  /** All versions other than the target that have had leafs under this order. */
  readonly seenBaselines: ReadonlyArray<string>;
}

/** A status to be written. */
export interface RolloutStatusWrite {
  readonly state: RolloutState;
  readonly attempt: number;
  /** The write takes effect only if this is the position of the object's last change. */
  readonly expectedRevision: StorePosition;
  readonly retiredVersions: ReadonlyArray<string>;
}

/** A write that has no clear answer yet. */
export interface PendingWrite {
  readonly status: RolloutStatusWrite;
  /** Time of the next try, in milliseconds; `undefined` while an answer is expected. */
  readonly retryAtMs: number | undefined;
  /** Whether a try may have taken effect, or may still do so. */
  readonly isInDoubt: boolean;
}

/** An attempt that this box has recorded; its number belongs to no other box. */
export interface OwnAttempt {
  readonly attempt: number;
  /** Position of the object's last change, on which `completed` depends. */
  readonly revision: StorePosition;
  /** Earliest time to write `completed`, in milliseconds. */
  readonly completeFromMs: number;
  /** Time at which the attempt is aborted if it is not confirmed, in milliseconds. */
  readonly abortAtMs: number;
  /** Time of the next announcement to unconfirmed boxes, in milliseconds. */
  readonly announceAtMs: number;
}

interface StateOf<Kind extends string> {
  readonly kind: Kind;
  readonly facts: RolloutFacts;
}

/** This box does not coordinate. */
export interface FollowingState extends StateOf<"following"> {}
/** Writes `running`, as the order has no status yet. */
export interface RecordingState extends StateOf<"recording"> {
  readonly write: PendingWrite;
}
/** This box coordinates and has no own attempt. */
export interface ObservingState extends StateOf<"observing"> {
  /** Earliest time to claim the next attempt, also after one of another box, in milliseconds. */
  readonly claimFromMs: number;
}
/** Writes the number of the next attempt. */
export interface ClaimingState extends StateOf<"claiming"> {
  readonly write: PendingWrite;
}
/** Owns an attempt, has announced it and has not sent `completed`. */
export interface SwitchingState extends StateOf<"switching"> {
  readonly own: OwnAttempt;
}
/** Has sent `completed`. Without an own attempt if the target serves alone. */
export interface CompletingState extends StateOf<"completing"> {
  readonly own: OwnAttempt | undefined;
  readonly write: PendingWrite;
}
/** Writes `rolled_back`. */
export interface RollingBackState extends StateOf<"rollingBack"> {
  readonly write: PendingWrite;
}
/** The order is finished. */
export interface SettledState extends StateOf<"settled"> {
  /** Era of the store in which the verdict is recorded. */
  readonly recordedEra: number;
  /** Write that records the verdict again in a restored store. */
  readonly write: PendingWrite | undefined;
}

/** Coordination of one order by one box. */
export type CoordinationState =
  | FollowingState
  | RecordingState
  | ObservingState
  | ClaimingState
  | SwitchingState
  | CompletingState
  | RollingBackState
  | SettledState;

/** Result of a write, as far as the store's answer tells. */
export type WriteResult =
  | { readonly kind: "done"; readonly revision: StorePosition }
  | {
      readonly kind: "conflict";
      /** `undefined` if the current object could not be read as this order. */
      readonly current:
        | {
            readonly order: Rollout;
            readonly revision: StorePosition;
            /** Whether the object's own status has the state of `order`. */
            readonly isRecorded: boolean;
          }
        | undefined;
    }
  /** The write may have taken effect, or may do so seconds later. */
  | { readonly kind: "unclear" }
  /** The write had no effect. */
  | { readonly kind: "unavailable" };

/** Time has passed. */
export interface TickEvent {
  readonly kind: "tick";
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  readonly role: CoordinatorRole;
  /** Era of the store; each restore from a backup begins a new one. */
  readonly storeEra: number;
}

/** The store answered a write, or did not. */
export interface AnsweredEvent {
  readonly kind: "answered";
  readonly write: RolloutStatusWrite;
  readonly result: WriteResult;
}

/** The known view of the order has changed, by the store's watch or by another box. */
export interface ViewedEvent {
  readonly kind: "viewed";
  readonly order: Rollout;
  readonly revision: StorePosition | undefined;
}

/** Events on which a state decides. */
export type DecisionEvent =
  | TickEvent
  | AnsweredEvent
  | ViewedEvent
  /** This box has judged the target as bad, or was told so. */
  | { readonly kind: "bad"; readonly nowMs: number; readonly inputs: LogEffect["fields"] };

/** Events that change only what is known. The next tick decides on it. */
export type FactEvent =
  | {
      readonly kind: "reports";
      readonly requests: number;
      readonly targetCalls: number;
      readonly confirmations: ReadonlyArray<RolloutConfirmation>;
    }
  | {
      readonly kind: "members";
      readonly members: ReadonlyArray<RolloutMember>;
      readonly listedBoxes: number | undefined;
    }
  | { readonly kind: "leafs"; readonly leafs: RolloutLeafs };

/** All events of the coordination. */
export type CoordinationEvent = DecisionEvent | FactEvent;

/** Names of counted events. */
export type RolloutCount = "attempt" | "abortedAttempt" | "completed" | "rolledBack";

/** What the caller of `coordinateRollout()` is to do. */
export type CoordinationEffect =
  | {
      readonly kind: "writeStatus";
      readonly order: Rollout;
      readonly write: RolloutStatusWrite;
    }
  /** Sends the view to these boxes. */
  | {
      readonly kind: "announce";
      readonly order: Rollout;
      readonly boxes: ReadonlyArray<string>;
    }
  /** Merges the view into the orders of this box. */
  | { readonly kind: "apply"; readonly order: Rollout }
  | { readonly kind: "countRollout"; readonly count: RolloutCount }
  | LogEffect;
