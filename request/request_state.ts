/**
 * State, events and effects of one caller's request.
 *
 * @module
 */

import type { Overload, PartsShortfall } from "../admission/mod.js";
import type { BlockReason } from "../leaf_access/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { CallPermission } from "../quarantine/mod.js";
import type { Route } from "../routing/mod.js";

/** Headers of an answer, with lower-case names. */
export type AnswerHeaders = Readonly<Record<string, string | ReadonlyArray<string> | undefined>>;

/** The complete answer of a leaf. */
export interface LeafAnswer {
  readonly statusCode: number;
  /** Headers as sent by the leaf, with lower-case names. */
  readonly headers: AnswerHeaders;
  /** Signature with which the leaf vouches for the answer; empty if there is none. */
  readonly signature: string;
  readonly body: Buffer;
}

/** Why another box has no part for a shard. */
export type FailedPart =
  /** No leaf was called. */
  | "declined"
  /** The leaf refused the call. */
  | "refused"
  /** The leaf gave no complete answer. */
  | "failed"
  /** The leaf's connection was closed before it answered. */
  | "connection closed"
  /** The box blocks the query because it has crashed leafs. */
  | "blocked";

/** Parts (partial results of shards) that another box has collected and merged. */
export interface RelayedParts {
  /** Signatures of the received parts, by service. */
  readonly signatures: ReadonlyMap<string, string>;
  /** The greatest records of those parts. */
  readonly records: Buffer;
  /**
   * Why a service has no part. Parts of services that are neither here nor in `signatures` may
   * still follow.
   */
  readonly failed: ReadonlyMap<string, FailedPart>;
  /** Queueing delay at the leafs near the box, in milliseconds; reported with the first parts. */
  readonly queueMs?: number;
}

/** How an attempt at a leaf ended. */
export type AttemptOutcome =
  /** The leaf answered, with a success or an error. */
  | { readonly kind: "answered"; readonly answer: LeafAnswer }
  /** The leaf stated that it did not run the request. */
  | { readonly kind: "refused"; readonly reason: "full" | "gone" }
  /** There was no complete answer. */
  | {
      readonly kind: "failed";
      /** Whether any byte may have reached the leaf. */
      readonly sent: boolean;
      readonly reason: string;
      /**
       * Whether the leaf's connection was closed before it answered, so that the leaf may have
       * crashed.
       */
      readonly connectionClosed?: boolean;
      /** Why the call was not sent, if the leaf may not be called. */
      readonly blockReason?: BlockReason;
    };

/** One attempt to get a shard's part, from a leaf or through a box near its leafs. */
export interface Attempt {
  readonly attemptId: number;
  /** Id of the leaf or box that was called. */
  readonly calledId: string;
  readonly startedAtMs: number;
  /** Event-loop idle time at the start, in milliseconds. */
  readonly startedAtIdleMs: number;
  /** Expected time to an answer, in milliseconds. */
  readonly expectedMs: number;
  /** Minimum time before the attempt is hedged, in milliseconds. */
  readonly minHedgeDelayMs: number;
}

/**
 * Purpose of a call beyond a shard's first. A replacement for a call that was never sent is not an
 * extra call.
 */
export type ExtraAttemptKind = ExtraCallKind | "replacement";

/** An attempt that is deferred. */
export interface DeferredAttempt {
  readonly atMs: number;
  readonly kind: ExtraAttemptKind;
}

/** One shard of a request. A request to a single leaf has one. */
export interface ShardState {
  readonly service: string;
  /**
   * Leafs called so far. Only leafs that refused, and so did not run the request, are called again.
   */
  readonly calledLeafIds: ReadonlySet<string>;
  /** Leafs that refused, once for each refused call. */
  readonly refusedBy: ReadonlyArray<string>;
  /** Leaf that another box was expected to call. It is called directly only if no other is left. */
  readonly expectedRelayLeafId: string | undefined;
  /** Number of attempts that may have run, including open ones. */
  readonly runs: number;
  readonly open: ReadonlyArray<Attempt>;
  readonly part: LeafAnswer | undefined;
  /**
   * Whether the part was received through another box, which takes precedence over a direct one.
   */
  readonly relayed: boolean;
  /** The deferred attempt, if no call is open and none could be made yet. */
  readonly next: DeferredAttempt | undefined;
  /** An error answer of a leaf, used as the reply if there is no better one. */
  readonly errorAnswer: LeafAnswer | undefined;
  /** Whether no part can be received any more. */
  readonly failed: boolean;
}

/** Immutable properties of a request. */
export interface RequestTerms {
  /** Id that the caller assigned to the request. */
  readonly requestId: string;
  readonly route: Route;
  readonly arrivedAtMs: number;
  /** Time at which the reply is due: the caller's deadline or the route's timeout. */
  readonly deadlineAtMs: number;
  /** Time by which the reply is worth most. */
  readonly objectiveAtMs: number;
  /** Maximum attempts for each shard, as policy and route allow. */
  readonly maxAttempts: number;
  /**
   * Maximum expected queueing delay at leafs, in milliseconds. With longer queues the request would
   * likely miss its latency objective.
   */
  readonly maxQueueMs: number;
  /** Share of the parts, 0 to 1, with which the reply is sent without waiting for more. */
  readonly finishShare: number;
}

/** State of a request. */
export interface RequestState {
  readonly terms: RequestTerms;
  readonly shards: ReadonlyArray<ShardState>;
  readonly partsIn: number;
  readonly partsLost: number;
  /** Parts received through other boxes. No shard is in two of them. */
  readonly relayed: ReadonlyArray<RelayedParts>;
  readonly nextAttemptId: number;
  /**
   * Whether the leafs' queues were long when the request was planned, so that extra calls would add
   * to them.
   */
  readonly congested: boolean;
  /** Whether the latency objective has passed, so that the minimum share suffices. */
  readonly pastObjective: boolean;
  /** Whether the minimum share was reached after the objective, and the reply waits for more. */
  readonly awaitsLateReply: boolean;
  readonly done: boolean;
}

/** What the caller receives. */
export type Reply =
  /** A leaf's answer, unchanged. */
  | { readonly kind: "passed"; readonly answer: LeafAnswer }
  /** The merged records of the received parts. */
  | {
      readonly kind: "merged";
      readonly records: Buffer;
      readonly signatures: ReadonlyArray<string>;
      readonly missingParts: number;
    }
  /** No route of the current configuration matches the request. */
  | { readonly kind: "noRoute" }
  /** The request has not run and never will. */
  | {
      readonly kind: "notRun";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The queues that caused the refusal, for the log. */
      readonly overload?: Overload;
      /** The expected shortfall that caused the refusal, for the log. */
      readonly shortfall?: PartsShortfall;
    }
  /** The request may have run, but there is no answer. */
  | { readonly kind: "failed"; readonly reason: "deadline" | "leafs failed" };

/** One shard that another box is to collect. */
export interface RelayedCall {
  readonly service: string;
  /** Leaf that the box is expected to call. */
  readonly leafId: string;
}

/** One leaf that another box is to call. */
export interface RemoteCall {
  readonly attemptId: number;
  readonly service: string;
  readonly leafId: string;
}

/** An effect of a request. */
export type RequestEffect =
  | {
      readonly kind: "call";
      readonly attemptId: number;
      readonly shardIndex: number;
      readonly leafId: string;
      /** Location of a box through which the leaf is better called, if any. */
      readonly relayPlace: string | undefined;
      readonly deadlineAtMs: number;
      /** Whether it is a trial call, the only call of a suspected query in flight. */
      readonly isTrial: boolean;
      /** Whether it is the first call for its shard, and no retry, hedge or replacement. */
      readonly isFirst: boolean;
    }
  /** Calls remote leafs through one box near them. Each part is returned separately. */
  | {
      readonly kind: "relaySeparately";
      readonly box: string;
      readonly calls: ReadonlyArray<RemoteCall>;
      /** Lower bound of the records that are wanted; no bound if `undefined`. */
      readonly minRecord: Buffer | undefined;
      readonly deadlineAtMs: number;
    }
  /** Has a box near the leafs of several shards call them and return their parts merged. */
  | {
      readonly kind: "relay";
      readonly attemptId: number;
      readonly box: string;
      readonly calls: ReadonlyArray<RelayedCall>;
      /**
       * Maximum time for which the box collects parts before it returns those it has, in
       * milliseconds.
       */
      readonly waitLimitMs: number;
      /**
       * Time within which a responsive box has sent its first parts, or none, in milliseconds.
       */
      readonly firstFrameMs: number;
      readonly deadlineAtMs: number;
    }
  | { readonly kind: "abandon"; readonly attemptId: number }
  /** Cancels an attempt if nothing of it has been sent; otherwise it continues. */
  | { readonly kind: "withdraw"; readonly attemptId: number }
  | { readonly kind: "wake"; readonly timer: RequestTimer; readonly atMs: number }
  | { readonly kind: "reply"; readonly reply: Reply };

/** Timers of a request. */
export type RequestTimer = "hedge" | "objective" | "lateReply" | "deadline";

/** An event of a request. */
export type RequestEvent =
  | { readonly kind: "started" }
  | {
      readonly kind: "attemptEnded";
      readonly attemptId: number;
      /** The only shard of the attempt, if known. */
      readonly shardIndex?: number;
      readonly outcome: AttemptOutcome;
    }
  | {
      readonly kind: "partsRelayed";
      readonly attemptId: number;
      readonly parts: RelayedParts;
    }
  | { readonly kind: "timer"; readonly timer: RequestTimer }
  | { readonly kind: "callerGone" };

/** A leaf that may be called. */
export interface LeafChoice {
  readonly leafId: string;
  /** Expected time to an answer, in milliseconds. */
  readonly expectedMs: number;
  /** Location of a box through which the leaf is better called, if any. */
  readonly relayPlace: string | undefined;
  /** Expected queueing delay at the leaf, in milliseconds. */
  readonly queueMs: number;
  /** Expected failure rate of calls to the leaf, 0 to 1. */
  readonly failureRate: number;
}

/** A box that may relay calls to leafs near it. */
export interface BoxChoice {
  readonly box: string;
  /** Expected time to an answer, in milliseconds. */
  readonly expectedMs: number;
}

/** What a request may use of its box while deciding. */
export interface RequestContext {
  readonly nowMs: number;
  /**
   * Event-loop idle time, in milliseconds: a clock that stops while this process is busy.
   */
  readonly eventLoopIdleMs: number;
  /**
   * Selects the leaf to call next, or `undefined` if all candidates are excluded. During a rollout,
   * first calls prefer the version that is to get its share of the calls, and others avoid it.
   *
   * @param service - The service.
   * @param excluded - Leafs that must not be selected.
   * @param options - Whether it is the first call for its shard; it is not by default.
   */
  chooseLeaf(
    service: string,
    excluded: ReadonlySet<string>,
    options?: { readonly isFirst?: boolean },
  ): LeafChoice | undefined;
  /**
   * Selects a box at a location to call through, or `undefined` if none is available.
   *
   * @param relayPlace - The location.
   * @param options - Whether boxes must not be selected whose first parts for some request are
   *   late.
   */
  chooseBox(
    relayPlace: string,
    options?: { readonly excludesLate?: boolean },
  ): BoxChoice | undefined;
  /**
   * Records the queueing delay at the leafs of an index, by which later queries are judged as well.
   *
   * @param index - Identifies the index: its first shard.
   * @param queueMs - Queueing delay that almost half of the query's calls would have at least, in
   *   milliseconds.
   * @returns The persistent queueing delay: the minimum of the recent samples, in milliseconds.
   */
  recordQueue(index: string, queueMs: number): number;
  /** Charges an extra call to the service's budget, if the budget allows it. */
  takeExtraCall(service: string, kind: ExtraCallKind): boolean;
  /** Returns how many extra calls the service's budget allows now. */
  extraCallsLeft(service: string): number;
  /** Returns how the next call may be made, as the query may have crashed leafs. */
  permission(): CallPermission;
  /** Begins a trial call, the only call of the query that may be in flight. */
  beginTrial(): void;
  /** Returns the retry delay for a blocked query, in milliseconds. */
  blockedForMs(): number;
}
