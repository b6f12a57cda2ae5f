/**
 * What one request may ask of its box while it is decided: leafs, boxes, extra calls.
 *
 * @module
 */
import { type ChoiceView, chooseLeaf, type Leaf, type Placement } from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { Member } from "../model/mod.js";
import type { Calling } from "../quarantine/mod.js";
import type { BoxChoice, LeafChoice, RequestWorld } from "../request/mod.js";
import type { RunnerOptions } from "./_runner_options.js";

/** The request that decides. */
export interface RunWorldOptions {
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** How the request's policy places calls. */
  readonly placement: Placement;
}

/** The box as one request sees it. */
export class RunWorld implements RequestWorld {
  /** Moment of the event that is being taken. */
  nowMs = 0;
  waitedMs = 0;
  readonly #box: RunnerOptions;
  readonly #placement: Placement;
  readonly #fingerprint: string;
  readonly #chosenBoxes = new Map<string, Member>();
  readonly #condition: ChoiceView["condition"];
  readonly #distance: ChoiceView["distance"];
  readonly #toldQueueMs: (leaf: Leaf) => number;
  /** Waits at the leafs of each place as told when this request first asked. */
  readonly #queuesMs = new Map<string, number>();

  /**
   * @param box - What the runner has of its box.
   * @param options - The request.
   */
  constructor(box: RunnerOptions, { fingerprint, placement }: RunWorldOptions) {
    this.#box = box;
    this.#fingerprint = fingerprint;
    this.#placement = placement;
    this.#condition = (leafId) => box.calls.condition(leafId);
    this.#distance = (leaf) => box.places.distance(leaf);
    this.#toldQueueMs = (leaf) => this.#queueAt(box.places.placeOf(leaf));
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
    const chosen = chooseLeaf(leafs().byService.get(service) ?? [], {
      nowMs: this.nowMs,
      waitedMs: this.waitedMs,
      condition: this.#condition,
      distance: this.#distance,
      excluded,
      toldQueueMs: this.#toldQueueMs,
      placement: this.#placement,
    });
    if (chosen === undefined) {
      return undefined;
    }
    const { leaf, lossShare, queueMs, usualMs } = chosen;
    const relayPlace = places.placeOf(leaf);
    return { leafId: leaf.leafId, expectedMs: usualMs, relayPlace, queueMs, lossShare };
  }

  chooseBox(relayPlace: string): BoxChoice | undefined {
    const { places, relays } = this.#box;
    const chosen = relays.choose(places.boxesAt(relayPlace));
    if (chosen === undefined) {
      return undefined;
    }
    const { member, usualMs } = chosen;
    this.#chosenBoxes.set(member.memberId, member);
    return { box: member.memberId, expectedMs: usualMs };
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

  calling(): Calling {
    return this.#box.quarantine.calling(this.#fingerprint);
  }

  beginTrial(): void {
    this.#box.quarantine.beginTrial(this.#fingerprint);
  }

  heldForMs(): number {
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
