/**
 * What one request may ask of its box while it is decided: leafs, boxes, extra calls.
 *
 * @module
 */
import { type BlockReason, describeBlockReason } from "../leaf_access/mod.js";
import { chooseLeaf, type Leaf, type LeafChoiceContext, type Placement } from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { Member } from "../model/mod.js";
import type { CallPermission } from "../quarantine/mod.js";
import type { BoxChoice, LeafChoice, RequestContext } from "../request/mod.js";
import type { RouteKey } from "../routing/mod.js";
import type { RunnerOptions } from "./_runner_options.js";

/** The request that decides. */
export interface RunEnvironmentOptions {
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** Host and path by which its route is found. */
  readonly routeKey: RouteKey;
  /** Time within which its answer is worth most, in milliseconds. */
  readonly objectiveMs: number;
  /** How the request's policy places calls. */
  readonly placement: Placement;
}

/** Shards kept from their leafs that a request's log line names at most. */
const MOST_BARRED = 20;

/** The box as one request sees it. */
export class RunEnvironment implements RequestContext {
  /** Moment of the event that is being taken. */
  nowMs = 0;
  eventLoopIdleMs = 0;
  /** Shards that no leaf could be asked for, by service, and what kept their leafs from it. */
  readonly blockedShards = new Map<string, string>();
  readonly #box: RunnerOptions;
  readonly #placement: Placement;
  readonly #fingerprint: string;
  readonly #objectiveMs: number;
  readonly #chosenBoxes = new Map<string, Member>();
  readonly #condition: LeafChoiceContext["health"];
  readonly #distance: LeafChoiceContext["distance"];
  readonly #toldQueueMs: (leaf: Leaf) => number;
  readonly #mayAsk: (leaf: Leaf) => boolean;
  readonly #isCold: (leafId: string) => boolean;
  /** What kept leafs from being asked since the last choice began. */
  #barriers: ReadonlyArray<BlockReason> = [];
  /** Waits at the leafs of each place as told when this request first asked. */
  readonly #queuesMs = new Map<string, number>();

  /**
   * @param box - What the runner has of its box.
   * @param options - The request.
   */
  constructor(box: RunnerOptions, options: RunEnvironmentOptions) {
    const { fingerprint, objectiveMs, placement, routeKey } = options;
    this.#box = box;
    this.#fingerprint = fingerprint;
    this.#placement = placement;
    this.#objectiveMs = objectiveMs;
    this.#condition = (leafId) => box.calls.health(leafId);
    this.#distance = (leaf) => box.places.distance(leaf);
    this.#toldQueueMs = (leaf) => this.#queueAt(box.places.placeOf(leaf));
    this.#isCold = (leafId) => box.access.isCold(leafId);
    this.#mayAsk = (leaf) => {
      const barrier = box.access.blockReasonForLeaf(leaf, routeKey);
      if (barrier !== undefined) {
        this.#barriers = [...this.#barriers, barrier];
      }
      return barrier === undefined;
    };
  }

  /**
   * Finds a box that was chosen before.
   *
   * @param box - Its name.
   * @returns The box, or nothing where it was not chosen.
   */
  chosenBox(box: string): Member | undefined {
    return this.#chosenBoxes.get(box);
  }

  chooseLeaf(service: string, excluded: ReadonlySet<string>): LeafChoice | undefined {
    const { leafs, places } = this.#box;
    this.#barriers = [];
    const chosen = chooseLeaf(leafs().byService.get(service) ?? [], {
      nowMs: this.nowMs,
      eventLoopIdleMs: this.eventLoopIdleMs,
      health: this.#condition,
      distance: this.#distance,
      excluded,
      isCallable: this.#mayAsk,
      isCold: this.#isCold,
      objectiveMs: this.#objectiveMs,
      reportedQueueMs: this.#toldQueueMs,
      placement: this.#placement,
    });
    if (chosen === undefined) {
      this.#noteBarred(service);
      return undefined;
    }
    const { leaf, failureRate: lossShare, queueMs, typicalLatencyMs: usualMs } = chosen;
    const relayPlace = places.placeOf(leaf);
    return {
      leafId: leaf.leafId,
      expectedMs: usualMs,
      relayPlace,
      queueMs,
      failureRate: lossShare,
    };
  }

  chooseBox(relayPlace: string): BoxChoice | undefined {
    const { places, relays } = this.#box;
    const chosen = relays.choose(places.boxesAt(relayPlace));
    if (chosen === undefined) {
      return undefined;
    }
    const { member, typicalLatencyMs: usualMs } = chosen;
    this.#chosenBoxes.set(member.memberId, member);
    return { box: member.memberId, expectedMs: usualMs };
  }

  #noteBarred(service: string): void {
    if (this.#barriers.length > 0 && this.blockedShards.size < MOST_BARRED) {
      const reasons = new Set(this.#barriers.map(describeBlockReason));
      this.blockedShards.set(service, [...reasons].join("; "));
    }
  }

  #queueAt(place: string | undefined): number {
    if (place === undefined) {
      return 0;
    }
    const { places, relays } = this.#box;
    const queueMs = this.#queuesMs.get(place) ?? relays.queueMs(places.boxesAt(place));
    this.#queuesMs.set(place, queueMs);
    return queueMs;
  }

  calling(): CallPermission {
    return this.#box.quarantine.permission(this.#fingerprint);
  }

  beginTrial(): void {
    this.#box.quarantine.beginTrial(this.#fingerprint);
  }

  blockedForMs(): number {
    return this.#box.quarantine.retryAfterMs(this.#fingerprint);
  }

  noteQueue(index: string, queueMs: number): number {
    return this.#box.noteQueue(index, queueMs);
  }

  extraCallsLeft(service: string): number {
    return this.#box.extraCallsLeft(service);
  }

  takeExtraCall(service: string, kind: ExtraCallKind): boolean {
    return this.#box.takeExtraCall(service, kind);
  }
}
