/**
 * One try of a caller, run by the decision core against leafs in virtual time.
 *
 * @module
 */
import {
  type AttemptOutcome,
  type FailedPart,
  failedPartOutcome,
  newRequest,
  type RelayedParts,
  type RemoteCall,
  type Reply,
  type RequestContext,
  type RequestEffect,
  type RequestEvent,
  type RequestState,
  type RequestTerms,
  type RequestTimer,
  stepRequest,
} from "../request/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { Without } from "./mechanism.js";
import { FAR_WAY_MS, type ReplayBox } from "./replay_box.js";
import { ReplayRelay } from "./replay_relay.js";

/** What a try runs on. */
export interface ReplayQueryOptions {
  readonly schedule: Schedule;
  readonly box: ReplayBox;
  /** Boxes of each region, one of which is asked for parts at random. */
  readonly boxesByRegion: ReadonlyArray<ReadonlyArray<ReplayBox>>;
  readonly terms: RequestTerms;
  readonly services: ReadonlyArray<string>;
  /** Draws the time that a leaf works for one call, in milliseconds. */
  readonly drawWorkMs: () => number;
  readonly without: Without;
  readonly onReply: (reply: Reply) => void;
}

/** One try. */
export class ReplayQuery implements RequestContext {
  readonly #options: ReplayQueryOptions;
  readonly #timers = new Map<RequestTimer, number>();
  #state: RequestState;

  /**
   * @param options - What the try runs on.
   */
  constructor(options: ReplayQueryOptions) {
    this.#options = options;
    this.#state = newRequest(options.terms, options.services);
  }

  get nowMs(): number {
    return this.#options.schedule.nowMs;
  }

  get eventLoopIdleMs(): number {
    return this.#options.box.waitedMs;
  }

  /**
   * Takes an event of the request.
   *
   * @param event - What happened.
   */
  take(event: RequestEvent): void {
    const next = stepRequest(this.#state, event, this);
    this.#state = next.state;
    for (const effect of next.effects) {
      (this.#runners[effect.kind] as (effect: RequestEffect) => void)(effect);
    }
  }

  chooseLeaf(service: string, excluded: ReadonlySet<string>) {
    const { box, without } = this.#options;
    const { objectiveAtMs: aimAtMs, arrivedAtMs } = this.#options.terms;
    const chosen = box.choose(service, { excluded, objectiveMs: aimAtMs - arrivedAtMs });
    if (chosen === undefined) {
      return undefined;
    }
    const { leaf, queueMs, typicalLatencyMs: usualMs } = chosen;
    const isFar = !box.isNear(leaf) && !without.has("relays");
    const relayPlace = isFar ? leaf.dataCentre : undefined;
    const failureRate = without.has("hopeless-refusals") ? 0 : chosen.failureRate;
    return {
      leafId: leaf.leafId,
      expectedMs: usualMs,
      relayPlace,
      queueMs,
      failureRate: failureRate,
    };
  }

  chooseBox(relayPlace: string) {
    return { box: relayPlace, expectedMs: 2 * FAR_WAY_MS + 30 };
  }

  recordQueue(index: string, queueMs: number): number {
    return this.#options.box.noteQueue(index, queueMs);
  }

  extraCallsLeft(service: string): number {
    return this.#options.box.extraCallsLeft(service);
  }

  permission(): "unrestricted" {
    return "unrestricted";
  }

  beginTrial(): void {}

  blockedForMs(): number {
    return 0;
  }

  takeExtraCall(service: string, kind: Parameters<RequestContext["takeExtraCall"]>[1]): boolean {
    return this.#options.box.takeExtraCall(service, kind);
  }

  readonly #runners: {
    readonly [K in RequestEffect["kind"]]: (
      effect: Extract<RequestEffect, { readonly kind: K }>,
    ) => void;
  } = {
    call: ({ attemptId, leafId, shardIndex }) => {
      const workMs = this.#options.drawWorkMs();
      this.#options.box.send({ leafId, workMs }, (outcome) => {
        this.take({ kind: "attemptEnded", attemptId, shardIndex, outcome });
      });
    },
    relay: (effect) => this.#relay(effect),
    relaySeparately: ({ box, calls }) => this.#askThrough(box, calls),
    abandon: () => undefined,
    withdraw: () => undefined,
    wake: ({ timer, atMs }) => this.#wake(timer, atMs),
    reply: ({ reply }) => this.#options.onReply(reply),
  };

  #relay({ attemptId, box: place, calls, waitLimitMs: patienceMs }: Relay): void {
    const { box, drawWorkMs, schedule, without } = this.#options;
    const near = this.#boxAt(place);
    const notes = new Map(calls.map(({ service, leafId }) => [service, box.noteSent(leafId)]));
    const back = (run: () => void): void => {
      schedule.after(FAR_WAY_MS, () => box.whenFree(run));
    };
    schedule.after(FAR_WAY_MS, () => {
      const order = {
        services: calls.map(({ service }) => service),
        onParts: (parts: RelayedParts) =>
          back(() => this.#takeParts(place, { attemptId, parts, notes })),
        onEnd: () => back(() => this.#endRelay(attemptId, notes)),
      };
      new ReplayRelay({ schedule, box: near, drawWorkMs, patienceMs, without }, order).start();
    });
  }

  #takeParts(place: string, { attemptId, parts, notes }: ArrivedParts): void {
    notePart(parts, notes);
    if (parts.queueMs !== undefined) {
      this.#options.box.noteTold(place, parts.queueMs);
    }
    this.take({ kind: "partsRelayed", attemptId, parts });
  }

  #endRelay(attemptId: number, notes: LeafNotes): void {
    for (const note of notes.values()) {
      note("abandoned");
    }
    this.take({ kind: "attemptEnded", attemptId, outcome: failedPartOutcome("failed") });
  }

  #askThrough(place: string, calls: ReadonlyArray<RemoteCall>): void {
    const { box, drawWorkMs, schedule } = this.#options;
    const near = this.#boxAt(place);
    for (const { attemptId, leafId } of calls) {
      const note = box.noteSent(leafId);
      const end = (outcome: AttemptOutcome): void => {
        schedule.after(FAR_WAY_MS, () => {
          box.whenFree(() => {
            note(outcome.kind === "answered" ? "answered" : "failed");
            this.take({ kind: "attemptEnded", attemptId, outcome });
          });
        });
      };
      schedule.after(FAR_WAY_MS, () => near.send({ leafId, workMs: drawWorkMs() }, end));
    }
  }

  #boxAt(place: string): ReplayBox {
    const { box, boxesByRegion, schedule } = this.#options;
    const boxes = boxesByRegion[Number(place)] ?? [];
    return boxes.length === 0 ? box : schedule.pick(boxes);
  }

  /** A later timer of the same name replaces the one before. */
  #wake(timer: RequestTimer, atMs: number): void {
    this.#timers.set(timer, atMs);
    this.#options.schedule.after(atMs - this.nowMs, () => {
      if (this.#timers.get(timer) === atMs) {
        this.#options.box.whenFree(() => this.take({ kind: "timer", timer }));
      }
    });
  }
}

type Relay = Extract<RequestEffect, { readonly kind: "relay" }>;

/** What a lost part says of the leaf that was expected to be asked. */
const LOST_RESULTS: Readonly<Record<FailedPart, "full" | "failed">> = {
  declined: "full",
  refused: "full",
  failed: "failed",
  "connection closed": "failed",
  blocked: "full",
};

/** Notes how the call to the leaf of a service ended. */
type LeafNotes = ReadonlyMap<string, ReturnType<ReplayBox["noteSent"]>>;

/** Parts that another box has handed over. */
interface ArrivedParts {
  readonly attemptId: number;
  readonly parts: RelayedParts;
  readonly notes: LeafNotes;
}

function notePart(parts: RelayedParts, notes: LeafNotes): void {
  for (const service of parts.signatures.keys()) {
    notes.get(service)?.("answered");
  }
  for (const [service, why] of parts.failed) {
    notes.get(service)?.(LOST_RESULTS[why]);
  }
}
