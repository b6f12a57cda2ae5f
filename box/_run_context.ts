/**
 * The state of the box that the decisions of one request read: leafs, boxes, quarantine and extra
 * calls.
 *
 * @module
 */
import { type BlockReason, describeBlockReason } from "../leaf_access/mod.js";
import {
  chooseOther,
  choosePreferred,
  type Leaf,
  type LeafChoiceContext,
  type Placement,
} from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { Member } from "../model/mod.js";
import type { CallPermission } from "../quarantine/mod.js";
import type { BoxSelection } from "../relay/mod.js";
import type { BoxChoice, LeafChoice, RequestContext } from "../request/mod.js";
import type { AcceptedRoute } from "../routing/mod.js";
import type { RunnerOptions } from "./_runner_options.js";

/** The request for which decisions are made. */
export interface RunContextOptions {
  /** Hash of the request's content, equal for identical queries. */
  readonly fingerprint: string;
  /** The request's body; `undefined` if it has none. */
  readonly body: Buffer | undefined;
  /** What the request was accepted under. */
  readonly acceptedRoute: AcceptedRoute;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Placement of calls that the policy selected. */
  readonly placement: Placement;
}

/** Maximum number of blocked shards in a request's log line. */
const MAX_BLOCKED_SHARDS = 20;

/** State of the box as seen by one request. */
export class RunContext implements RequestContext {
  /** Time of the event being processed, in milliseconds. */
  nowMs = 0;
  eventLoopIdleMs = 0;
  /** Reasons why no leaf of a shard could be called, by service. */
  readonly blockedShards = new Map<string, string>();
  readonly #box: RunnerOptions;
  readonly #placement: Placement;
  readonly #fingerprint: string;
  readonly #hasBody: boolean;
  readonly #objectiveMs: number;
  readonly #chosenBoxes = new Map<string, Member>();
  readonly #health: LeafChoiceContext["health"];
  readonly #distance: LeafChoiceContext["distance"];
  readonly #reportedQueueMs: (leaf: Leaf) => number;
  readonly #mayCall: (leaf: Leaf) => boolean;
  readonly #isCold: (leafId: string) => boolean;
  /** Reasons found in the current selection why leafs may not be called. */
  readonly #blockReasons: Array<BlockReason> = [];
  /**
   * Queueing delay at the leafs of each place, in milliseconds, cached on first use so that it
   * stays constant.
   */
  readonly #queuesMs = new Map<string, number>();

  /**
   * @param box - Dependencies that the box provides.
   * @param options - The request.
   */
  constructor(box: RunnerOptions, options: RunContextOptions) {
    const { acceptedRoute, body, fingerprint, objectiveMs, placement } = options;
    this.#box = box;
    this.#hasBody = body !== undefined;
    this.#fingerprint = fingerprint;
    this.#placement = placement;
    this.#objectiveMs = objectiveMs;
    this.#health = (leafId) => box.calls.health(leafId);
    this.#distance = (leaf) => box.places.distance(leaf);
    this.#reportedQueueMs = (leaf) => this.#queueMsAt(box.places.placeOf(leaf));
    this.#isCold = (leafId) => box.access.isCold(leafId);
    this.#mayCall = (leaf) => {
      const blockReason = box.access.blockReasonForLeaf(leaf, acceptedRoute);
      if (blockReason !== undefined) {
        this.#blockReasons.push(blockReason);
      }
      return blockReason === undefined;
    };
  }

  /**
   * Returns a box that was selected before.
   *
   * @param box - Name of the box.
   * @returns The box, or `undefined` if it was not selected.
   */
  chosenBox(box: string): Member | undefined {
    return this.#chosenBoxes.get(box);
  }

  chooseLeaf(
    service: string,
    excluded: ReadonlySet<string>,
    { isFirst = false }: { readonly isFirst?: boolean } = {},
  ): LeafChoice | undefined {
    const { access, leafs, places } = this.#box;
    this.#blockReasons.length = 0;
    const version = access.preferredVersion(service);
    const choose = isFirst ? choosePreferred : chooseOther;
    const chosen = choose(leafs().byService.get(service) ?? [], version, {
      nowMs: this.nowMs,
      eventLoopIdleMs: this.eventLoopIdleMs,
      health: this.#health,
      distance: this.#distance,
      excluded,
      isCallable: this.#mayCall,
      isCold: this.#isCold,
      objectiveMs: this.#objectiveMs,
      reportedQueueMs: this.#reportedQueueMs,
      placement: this.#placement,
    });
    if (chosen === undefined) {
      this.#recordBlocked(service);
      return undefined;
    }
    const { leaf, failureRate, queueMs, typicalLatencyMs } = chosen;
    // Another box would choose a leaf by its own credit instead.
    const isForVersion = isFirst && version !== undefined && leaf.version === version;
    const relayPlace = isForVersion ? undefined : places.placeOf(leaf);
    return {
      leafId: leaf.leafId,
      expectedMs: typicalLatencyMs,
      relayPlace,
      queueMs,
      failureRate,
    };
  }

  chooseBox(relayPlace: string, selection: BoxSelection = {}): BoxChoice | undefined {
    const { places, relays } = this.#box;
    const hasBody = this.#hasBody;
    const chosen = relays.choose(places.boxesAt(relayPlace), { ...selection, hasBody });
    if (chosen === undefined) {
      return undefined;
    }
    const { member, typicalLatencyMs } = chosen;
    this.#chosenBoxes.set(member.memberId, member);
    return { box: member.memberId, expectedMs: typicalLatencyMs };
  }

  #recordBlocked(service: string): void {
    if (this.#blockReasons.length > 0 && this.blockedShards.size < MAX_BLOCKED_SHARDS) {
      const reasons = new Set(this.#blockReasons.map(describeBlockReason));
      this.blockedShards.set(service, [...reasons].join("; "));
    }
  }

  #queueMsAt(place: string | undefined): number {
    if (place === undefined) {
      return 0;
    }
    const { places, relays } = this.#box;
    const queueMs = this.#queuesMs.get(place) ?? relays.queueMs(places.boxesAt(place));
    this.#queuesMs.set(place, queueMs);
    return queueMs;
  }

  permission(): CallPermission {
    return this.#box.quarantine.permission(this.#fingerprint);
  }

  beginTrial(): void {
    this.#box.quarantine.beginTrial(this.#fingerprint);
  }

  blockedForMs(): number {
    return this.#box.quarantine.retryAfterMs(this.#fingerprint);
  }

  recordQueue(index: string, queueMs: number): number {
    return this.#box.recordQueue(index, queueMs);
  }

  extraCallsLeft(service: string): number {
    return this.#box.extraCallsLeft(service);
  }

  takeExtraCall(service: string, kind: ExtraCallKind): boolean {
    return this.#box.takeExtraCall(service, kind);
  }
}
