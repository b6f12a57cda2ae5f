/**
 * One caller's request while it is being answered.
 *
 * @module
 */

import type { Overload, PartsShortfall } from "../admission/mod.js";
import type { BlockReason } from "../leaf_access/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { CallPermission } from "../quarantine/mod.js";
import type { Route } from "../routing/mod.js";

/** Headers of an answer, names in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | ReadonlyArray<string> | undefined>>;

/** What a leaf answered, whole. */
export interface LeafAnswer {
  readonly statusCode: number;
  /** Headers as the leaf gave them, names in lower case. */
  readonly headers: AnswerHeaders;
  /** Signature by which the leaf stands for the answer; empty where it gave none. */
  readonly signature: string;
  readonly body: Buffer;
}

/** Why another box has no part. */
export type FailedPart =
  /** No leaf was asked. */
  | "declined"
  /** The leaf refused the call. */
  | "refused"
  /** The leaf gave no whole answer. */
  | "failed"
  /** The leaf's connection ended before its answer. */
  | "connection lost"
  /** The box does not send the query, as leafs were lost under it. */
  | "blocked";

/** Parts of several shards that another box has got and merged. */
export interface RelayedParts {
  /** Signatures of the parts that are in, by service. */
  readonly signatures: ReadonlyMap<string, string>;
  /** The greatest records of those parts. */
  readonly records: Buffer;
  /** Services of which there is no part, and why; those not named may still come. */
  readonly failed: ReadonlyMap<string, FailedPart>;
  /** Time that calls wait at the leafs near the box, in milliseconds; told with the first parts. */
  readonly queueMs?: number;
}

/** How an attempt at a leaf ended. */
export type AttemptOutcome =
  /** The leaf answered, with success or with a failure of its own. */
  | { readonly kind: "answered"; readonly answer: LeafAnswer }
  /** The leaf did not run the request and said so. */
  | { readonly kind: "refused"; readonly reason: "full" | "gone" }
  /** There was no whole answer. */
  | {
      readonly kind: "failed";
      /** Whether any byte may have reached the leaf. */
      readonly sent: boolean;
      readonly reason: string;
      /** Whether the leaf's connection ended while the answer was awaited: the leaf may have ended with it. */
      readonly connectionClosed?: boolean;
      /** Why it was not sent, where the leaf may not be called at this moment. */
      readonly blockReason?: BlockReason;
    };

/** One try to get a shard's part, from a leaf or through a box near its leafs. */
export interface Attempt {
  readonly attemptId: number;
  /** Leaf or box that was asked. */
  readonly calledId: string;
  readonly startedAtMs: number;
  /** The same moment by the clock that stands still while this box is busy. */
  readonly startedAtWaitedMs: number;
  /** Time in which it is expected to be answered, in milliseconds. */
  readonly expectedMs: number;
  /** Least time before which nothing can be concluded from its silence, in milliseconds. */
  readonly minHedgeDelayMs: number;
}

/** What a call beyond a shard's first is for; one in place of a call that was never sent is no extra call. */
export type ExtraAttemptKind = ExtraCallKind | "replacement";

/** A call that is to be made later. */
export interface DeferredAttempt {
  readonly atMs: number;
  readonly kind: ExtraAttemptKind;
}

/** One shard of a request; a request to a single leaf has one. */
export interface ShardState {
  readonly service: string;
  /** Leafs asked so far; none is asked twice but those that refused and so did not run the request. */
  readonly calledLeafIds: ReadonlySet<string>;
  /** Leafs that refused, once for each call. */
  readonly refusedBy: ReadonlyArray<string>;
  /** Leaf that another box was expected to ask; asked directly only where no other is left. */
  readonly expectedRelayLeafId: string | undefined;
  /** Attempts that may have run, those under way included. */
  readonly runs: number;
  readonly open: ReadonlyArray<Attempt>;
  readonly part: LeafAnswer | undefined;
  /** Whether its part came in through another box; goes before a part of its own. */
  readonly relayed: boolean;
  /** When it is asked again and what for, where no call is under way and none could be made yet. */
  readonly next: DeferredAttempt | undefined;
  /** A leaf's own failure, kept in case there is nothing better. */
  readonly errorAnswer: LeafAnswer | undefined;
  /** Whether nothing more can be got for it. */
  readonly failed: boolean;
}

/** A request as its caller sent it, as far as deciding goes. */
export interface RequestTerms {
  /** Id that the caller gave the attempt. */
  readonly requestId: string;
  readonly route: Route;
  readonly arrivedAtMs: number;
  /** Moment at which the final answer is due: the caller's deadline or the route's timeout. */
  readonly deadlineAtMs: number;
  /** Moment by which the answer is worth most. */
  readonly objectiveAtMs: number;
  /** Attempts for each shard, as policy and route allow. */
  readonly maxAttempts: number;
  /**
   * Longest time that calls may be expected to wait at leafs, in milliseconds; with more the request
   * could hardly be answered by its aim, and the leafs had better work on others.
   */
  readonly maxQueueMs: number;
  /** Share of the parts, 0 to 1, with which the answer is given without waiting for more. */
  readonly finishShare: number;
}

/** Everything known of a request. */
export interface RequestState {
  readonly terms: RequestTerms;
  readonly shards: ReadonlyArray<ShardState>;
  readonly partsIn: number;
  readonly partsLost: number;
  /** Parts that came in through other boxes; no shard is in two of them. */
  readonly relayed: ReadonlyArray<RelayedParts>;
  readonly nextAttemptId: number;
  /** Whether the leafs' queues were long when it was planned, so that second calls would add to them. */
  readonly congested: boolean;
  /** Whether the aim has passed, so that the least share suffices. */
  readonly pastObjective: boolean;
  readonly done: boolean;
}

/** What the caller gets. */
export type Reply =
  /** A leaf's answer, unchanged. */
  | { readonly kind: "passed"; readonly answer: LeafAnswer }
  /** The merged records of the parts that are in. */
  | {
      readonly kind: "merged";
      readonly records: Buffer;
      readonly signatures: ReadonlyArray<string>;
      readonly missingParts: number;
    }
  /** The configuration in force has no route for it. */
  | { readonly kind: "noRoute" }
  /** The request has not run and never will. */
  | {
      readonly kind: "notRun";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The queues that it was refused for, for the log. */
      readonly overload?: Overload;
      /** The parts that it was refused for, for the log. */
      readonly shortfall?: PartsShortfall;
    }
  /** It may have run and there is no answer. */
  | { readonly kind: "failed"; readonly reason: "deadline" | "leafs failed" };

/** One shard that another box is asked for. */
export interface RelayedCall {
  readonly service: string;
  /** Leaf that the box is expected to ask. */
  readonly leafId: string;
}

/** One leaf that another box is asked to call. */
export interface RemoteCall {
  readonly attemptId: number;
  readonly service: string;
  readonly leafId: string;
}

/** What is to be done for a request. */
export type RequestEffect =
  | {
      readonly kind: "call";
      readonly attemptId: number;
      readonly shardIndex: number;
      readonly leafId: string;
      /** Where a box near the leaf stands, if it had better be asked through one. */
      readonly relayPlace: string | undefined;
      readonly deadlineAtMs: number;
      /** Whether it is the only call of a query under which leafs were lost. */
      readonly isTrial: boolean;
    }
  /** Asks leafs elsewhere through one box near them, each part by itself. */
  | {
      readonly kind: "askThrough";
      readonly box: string;
      readonly calls: ReadonlyArray<RemoteCall>;
      /** Records below this one are not wanted any more; all are where there is none. */
      readonly minRecord: Buffer | undefined;
      readonly deadlineAtMs: number;
    }
  /** Has one box near the leafs of several shards ask them, and hand over their parts merged. */
  | {
      readonly kind: "relay";
      readonly attemptId: number;
      readonly box: string;
      readonly calls: ReadonlyArray<RelayedCall>;
      /** Longest time that the box waits before it hands over what has come in, in milliseconds. */
      readonly waitLimitMs: number;
      readonly deadlineAtMs: number;
    }
  | { readonly kind: "abandon"; readonly attemptId: number }
  /** Takes an attempt back if nothing of it has been sent; else lets it run. */
  | { readonly kind: "withdraw"; readonly attemptId: number }
  | { readonly kind: "wake"; readonly timer: RequestTimer; readonly atMs: number }
  | { readonly kind: "reply"; readonly reply: Reply };

/** Moments at which a request is looked at again. */
export type RequestTimer = "hedge" | "aim" | "deadline";

/** What happens to a request. */
export type RequestEvent =
  | { readonly kind: "started" }
  | {
      readonly kind: "attemptEnded";
      readonly attemptId: number;
      /** The only shard that it was for, where that is known. */
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

/** A leaf that may be asked. */
export interface LeafChoice {
  readonly leafId: string;
  /** Time in which it is expected to answer, in milliseconds. */
  readonly expectedMs: number;
  /** Where a box near the leaf stands, if it had better be asked through one. */
  readonly relayPlace: string | undefined;
  /** Time that a call is expected to wait there before it is run, in milliseconds. */
  readonly queueMs: number;
  /** Share of the calls there that are to be expected to come to nothing, 0 to 1. */
  readonly failureRate: number;
}

/** A box that may be asked for the parts of leafs near it. */
export interface BoxChoice {
  readonly box: string;
  /** Time in which it is expected to answer, in milliseconds. */
  readonly expectedMs: number;
}

/** What a request may ask of its box while deciding. */
export interface RequestContext {
  readonly nowMs: number;
  /** The moment by the clock that stands still while this box is busy, in milliseconds. */
  readonly eventLoopIdleMs: number;
  /** Picks the leaf to ask next, or nothing where there is none but those excluded. */
  chooseLeaf(service: string, excluded: ReadonlySet<string>): LeafChoice | undefined;
  /** Picks a box at a place to ask through, or nothing where there is none to rely on. */
  chooseBox(relayPlace: string): BoxChoice | undefined;
  /**
   * Notes the wait at the leafs of an index, by which the next queries are judged as well.
   *
   * @param index - Names the index: its first shard.
   * @param queueMs - The wait that nearly half of a query's calls would have, or more, in milliseconds.
   * @returns The wait that all the latest looks have found, in milliseconds.
   */
  noteQueue(index: string, queueMs: number): number;
  /** Takes a call beyond the first out of the service's budget, if that allows it. */
  takeExtraCall(service: string, kind: ExtraCallKind): boolean;
  /** Tells how many extra calls the service's budget allows now. */
  extraCallsLeft(service: string): number;
  /** Tells how the next call may go: leafs may have been lost under the query. */
  calling(): CallPermission;
  /** Claims the only call that may be under way. */
  beginTrial(): void;
  /** Tells when a query that is held may come back, as the time from now in milliseconds. */
  blockedForMs(): number;
}
