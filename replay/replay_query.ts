/**
 * One attempt of a caller, run by the decision core against leafs in virtual time.
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
import type { DisabledMechanisms } from "./mechanism.js";
import { REMOTE_LATENCY_MS, type ReplayBox } from "./replay_box.js";
import { ReplayRelay } from "./replay_relay.js";

/** Options of a {@linkcode ReplayQuery}. */
export interface ReplayQueryOptions {
  readonly schedule: Schedule;
  readonly box: ReplayBox;
  /** Boxes of each region; relay requests go to a random one of them. */
  readonly boxesByRegion: ReadonlyArray<ReadonlyArray<ReplayBox>>;
  readonly terms: RequestTerms;
  readonly services: ReadonlyArray<string>;
  /** Draws the processing time of one call, in milliseconds. */
  readonly drawWorkMs: () => number;
  readonly disabled: DisabledMechanisms;
  readonly onReply: (reply: Reply) => void;
}

/** One attempt of a caller. */
export class ReplayQuery implements RequestContext {
  readonly #options: ReplayQueryOptions;
  readonly #timers = new Map<RequestTimer, number>();
  #state: RequestState;

  /**
   * @param options - Options of the attempt.
   */
  constructor(options: ReplayQueryOptions) {
    this.#options = options;
    this.#state = newRequest(options.terms, options.services);
  }

  get nowMs(): number {
    return this.#options.schedule.nowMs;
  }

  get eventLoopIdleMs(): number {
    return this.#options.box.eventLoopIdleMs;
  }

  /**
   * Applies an event to the request and runs the resulting effects.
   *
   * @param event - The event.
   */
  dispatch(event: RequestEvent): void {
    const next = stepRequest(this.#state, event, this);
    this.#state = next.state;
    for (const effect of next.effects) {
      (this.#runners[effect.kind] as (effect: RequestEffect) => void)(effect);
    }
  }

  chooseLeaf(service: string, excluded: ReadonlySet<string>) {
    const { box, disabled } = this.#options;
    const { objectiveAtMs, arrivedAtMs } = this.#options.terms;
    const chosen = box.chooseLeaf(service, { excluded, objectiveMs: objectiveAtMs - arrivedAtMs });
    if (chosen === undefined) {
      return undefined;
    }
    const { leaf, queueMs, typicalLatencyMs } = chosen;
    const isRelayed = !box.isLocal(leaf) && !disabled.has("relays");
    const relayPlace = isRelayed ? leaf.dataCentre : undefined;
    const failureRate = disabled.has("hopeless-refusals") ? 0 : chosen.failureRate;
    return {
      leafId: leaf.leafId,
      expectedMs: typicalLatencyMs,
      relayPlace,
      queueMs,
      failureRate,
    };
  }

  chooseBox(relayPlace: string) {
    return { box: relayPlace, expectedMs: 2 * REMOTE_LATENCY_MS + 30 };
  }

  recordQueue(index: string, queueMs: number): number {
    return this.#options.box.recordQueue(index, queueMs);
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
        this.dispatch({ kind: "attemptEnded", attemptId, shardIndex, outcome });
      });
    },
    relay: (effect) => this.#relay(effect),
    relaySeparately: ({ box, calls }) => this.#callThrough(box, calls),
    abandon: () => undefined,
    withdraw: () => undefined,
    wake: ({ timer, atMs }) => this.#setTimer(timer, atMs),
    reply: ({ reply }) => this.#options.onReply(reply),
  };

  #relay({ attemptId, box: place, calls, waitLimitMs }: Relay): void {
    const { box, drawWorkMs, schedule, disabled } = this.#options;
    const relayBox = this.#boxIn(place);
    const recorders = new Map(
      calls.map(({ service, leafId }) => [service, box.recordSent(leafId)]),
    );
    const returnToBox = (run: () => void): void => {
      schedule.after(REMOTE_LATENCY_MS, () => box.runWhenIdle(run));
    };
    schedule.after(REMOTE_LATENCY_MS, () => {
      const request = {
        services: calls.map(({ service }) => service),
        onParts: (parts: RelayedParts) =>
          returnToBox(() => this.#receiveParts(place, { attemptId, parts, recorders })),
        onEnd: () => returnToBox(() => this.#endRelay(attemptId, recorders)),
      };
      new ReplayRelay(
        { schedule, box: relayBox, drawWorkMs, waitLimitMs, disabled },
        request,
      ).start();
    });
  }

  #receiveParts(place: string, { attemptId, parts, recorders }: ReceivedParts): void {
    recordParts(parts, recorders);
    if (parts.queueMs !== undefined) {
      this.#options.box.recordReportedQueue(place, parts.queueMs);
    }
    this.dispatch({ kind: "partsRelayed", attemptId, parts });
  }

  #endRelay(attemptId: number, recorders: CallEndRecorders): void {
    for (const recordEnd of recorders.values()) {
      recordEnd("abandoned");
    }
    this.dispatch({ kind: "attemptEnded", attemptId, outcome: failedPartOutcome("failed") });
  }

  #callThrough(place: string, calls: ReadonlyArray<RemoteCall>): void {
    const { box, drawWorkMs, schedule } = this.#options;
    const relayBox = this.#boxIn(place);
    for (const { attemptId, leafId } of calls) {
      const recordEnd = box.recordSent(leafId);
      const end = (outcome: AttemptOutcome): void => {
        schedule.after(REMOTE_LATENCY_MS, () => {
          box.runWhenIdle(() => {
            recordEnd(outcome.kind === "answered" ? "answered" : "failed");
            this.dispatch({ kind: "attemptEnded", attemptId, outcome });
          });
        });
      };
      schedule.after(REMOTE_LATENCY_MS, () => relayBox.send({ leafId, workMs: drawWorkMs() }, end));
    }
  }

  #boxIn(place: string): ReplayBox {
    const { box, boxesByRegion, schedule } = this.#options;
    const boxes = boxesByRegion[Number(place)] ?? [];
    return boxes.length === 0 ? box : schedule.pick(boxes);
  }

  /** Sets a timer; replaces an earlier one of the same name. */
  #setTimer(timer: RequestTimer, atMs: number): void {
    this.#timers.set(timer, atMs);
    this.#options.schedule.after(atMs - this.nowMs, () => {
      if (this.#timers.get(timer) === atMs) {
        this.#options.box.runWhenIdle(() => this.dispatch({ kind: "timer", timer }));
      }
    });
  }
}

type Relay = Extract<RequestEffect, { readonly kind: "relay" }>;

/** Result recorded for the leaf that was expected to be called, by reason of the failed part. */
const RESULT_BY_FAILURE: Readonly<Record<FailedPart, "full" | "failed">> = {
  declined: "full",
  refused: "full",
  failed: "failed",
  "connection closed": "failed",
  blocked: "full",
};

/** Functions that record how the call to a leaf ended, by service. */
type CallEndRecorders = ReadonlyMap<string, ReturnType<ReplayBox["recordSent"]>>;

/** Results of shards received from another box. */
interface ReceivedParts {
  readonly attemptId: number;
  readonly parts: RelayedParts;
  readonly recorders: CallEndRecorders;
}

function recordParts(parts: RelayedParts, recorders: CallEndRecorders): void {
  for (const service of parts.signatures.keys()) {
    recorders.get(service)?.("answered");
  }
  for (const [service, reason] of parts.failed) {
    recorders.get(service)?.(RESULT_BY_FAILURE[reason]);
  }
}
