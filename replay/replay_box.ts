/**
 * A box in virtual time: runs the decision core against leafs and calls local leafs for other boxes.
 *
 * @module
 */

import { addQueueSample, persistentQueueMs, type QueueSamples } from "../admission/mod.js";
import { ExtraCallBudgets } from "../extra_calls/mod.js";
import {
  type CallEnd,
  chooseLeaf,
  INITIAL_LEAF_HEALTH,
  isFull,
  isUnresponsive,
  type Leaf,
  type LeafHealth,
  recordCallEnd,
  recordCallSent,
} from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { AttemptOutcome, LeafAnswer } from "../request/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { DisabledMechanisms } from "./mechanism.js";
import type { LeafCallEnd, ReplayLeaf } from "./replay_leaf.js";

/** One-way network latency to a leaf or box in another region, in milliseconds. */
export const REMOTE_LATENCY_MS = 8;

/** One-way network latency within a region, in milliseconds. */
const LOCAL_LATENCY_MS = 0.5;

/** Age at which a reported queueing time expires, as in the box daemon, in milliseconds. */
const REPORTED_QUEUE_TTL_MS = 300;

/** Extra calls allowed in a window, as a share of the requests. */
const EXTRA_CALL_SHARE = 0.2;

/** Length of that window, in milliseconds. */
const EXTRA_CALL_WINDOW_MS = 10_000;

/** Options of a {@linkcode ReplayBox}. */
export interface ReplayBoxOptions {
  readonly schedule: Schedule;
  readonly region: number;
  /** Number of boxes that share the slack for extra calls. */
  readonly boxesSharingSlack: number;
  readonly slackCalls: number;
  readonly leafsByService: ReadonlyMap<string, ReadonlyArray<Leaf>>;
  /** Simulated leafs, by leaf ID. */
  readonly models: ReadonlyMap<string, ReplayLeaf>;
  readonly disabled: DisabledMechanisms;
}

/** A call to a leaf. */
export interface ReplayCall {
  readonly leafId: string;
  readonly workMs: number;
}

const ANSWER: LeafAnswer = { statusCode: 200, headers: {}, signature: "x", body: Buffer.alloc(0) };

const OUTCOMES: Readonly<Record<LeafCallEnd["kind"], AttemptOutcome>> = {
  answered: { kind: "answered", answer: ANSWER },
  refused: { kind: "refused", reason: "full" },
  failed: { kind: "failed", sent: true, reason: "reset" },
};

const RESULTS: Readonly<Record<LeafCallEnd["kind"], CallEnd["result"]>> = {
  answered: "answered",
  refused: "full",
  failed: "failed",
};

/** A simulated box. */
export class ReplayBox {
  readonly #options: ReplayBoxOptions;
  readonly #leafs: ReadonlyMap<string, Leaf>;
  readonly #healthByLeaf = new Map<string, LeafHealth>();
  #budgets: ExtraCallBudgets;
  readonly #queueSamples = new Map<string, QueueSamples>();
  readonly #reportedQueues = new Map<string, { readonly queueMs: number; readonly atMs: number }>();
  /** Time until which the box computes and handles no events, in milliseconds. */
  #busyUntilMs = 0;
  /** Total time for which the box has computed, in milliseconds. */
  #totalBusyMs = 0;
  #nextCallId = 1;

  /**
   * @param options - Options of the box.
   */
  constructor(options: ReplayBoxOptions) {
    this.#options = options;
    this.#budgets = this.#newBudgets();
    const leafs = [...options.leafsByService.values()].flat();
    this.#leafs = new Map(leafs.map((leaf) => [leaf.leafId, leaf]));
  }

  /** Region of the box. */
  get region(): number {
    return this.#options.region;
  }

  /** Current time on the clock of the event loop's idle time, in milliseconds; it does not advance while the box computes. */
  get eventLoopIdleMs(): number {
    const { schedule, disabled } = this.#options;
    return disabled.has("waiting-clock") ? schedule.nowMs : schedule.nowMs - this.#totalBusyMs;
  }

  /** Discards all learned state, as a restart does. */
  reset(): void {
    for (const state of [this.#healthByLeaf, this.#queueSamples, this.#reportedQueues]) {
      state.clear();
    }
    this.#budgets = this.#newBudgets();
  }

  /**
   * Occupies the event loop; events that arrive meanwhile are handled afterwards.
   *
   * @param forMs - Time to compute, in milliseconds.
   */
  compute(forMs: number): void {
    const now = this.#options.schedule.nowMs;
    this.#busyUntilMs = Math.max(now, this.#busyUntilMs) + forMs;
    this.#totalBusyMs += forMs;
  }

  /**
   * Runs a function immediately if the event loop is idle, or else as soon as it is.
   *
   * @param run - Function to run.
   */
  runWhenIdle(run: () => void): void {
    const waitMs = this.#busyUntilMs - this.#options.schedule.nowMs;
    if (waitMs <= 0) {
      run();
    } else {
      this.#options.schedule.after(waitMs, () => this.runWhenIdle(run));
    }
  }

  /** Credits a request to the extra-call budget of a service. */
  credit(service: string): void {
    this.#budgets.credit(service);
  }

  /** Records the queueing time at the leafs of an index and returns the persistent one, in milliseconds. */
  recordQueue(index: string, queueMs: number): number {
    const { nowMs } = this.#options.schedule;
    const samples = addQueueSample(this.#queueSamples.get(index) ?? [], { queueMs, atMs: nowMs });
    this.#queueSamples.set(index, samples);
    return this.#options.disabled.has("standing-queues") ? queueMs : persistentQueueMs(samples);
  }

  /** Records the queueing time that a box of a region has reported. */
  recordReportedQueue(region: string, queueMs: number): void {
    this.#reportedQueues.set(region, { queueMs, atMs: this.#options.schedule.nowMs });
  }

  /** Returns the queueing time last reported for a region's leafs, in milliseconds; 0 if none or expired. */
  #reportedQueueMs(region: string): number {
    const reported = this.#reportedQueues.get(region);
    const isExpired = (reported?.atMs ?? 0) < this.#options.schedule.nowMs - REPORTED_QUEUE_TTL_MS;
    return reported === undefined || isExpired ? 0 : reported.queueMs;
  }

  /** Returns how many extra calls the budget of a service allows. */
  extraCallsLeft(service: string): number {
    return this.#budgets.remaining(service);
  }

  /** Takes an extra call from the budget of a service; returns whether the budget allows it. */
  takeExtraCall(service: string, kind: ExtraCallKind): boolean {
    if (kind === "hedge" && this.#options.disabled.has("hedging")) {
      return false;
    }
    return this.#budgets.tryTake(service, kind);
  }

  /** Selects a leaf for a call, only among available local ones on behalf of another box. */
  chooseLeaf(
    service: string,
    { excluded, localOnly = false, objectiveMs }: LeafSelection,
  ): ReturnType<typeof chooseLeaf> {
    const leafs = this.#options.leafsByService.get(service) ?? [];
    const candidates = leafs.filter((leaf) => !localOnly || this.#isAvailable(leaf));
    const { nowMs } = this.#options.schedule;
    const distance = (leaf: Leaf) => (this.isLocal(leaf) ? "zone" : "remote");
    const selection = {
      health: (leafId: string) => this.#healthForSelection(leafId),
      distance,
      excluded,
    };
    const reportedQueueMs = (leaf: Leaf) => {
      const usesReport = !this.isLocal(leaf) && !this.#options.disabled.has("told-queues");
      return usesReport ? this.#reportedQueueMs(leaf.dataCentre) : 0;
    };
    const objective = this.#options.disabled.has("objective") ? {} : { objectiveMs };
    const view = {
      nowMs,
      eventLoopIdleMs: this.eventLoopIdleMs,
      ...selection,
      ...objective,
      reportedQueueMs,
    };
    return chooseLeaf(candidates, view);
  }

  /** Whether a leaf is in the box's region. */
  isLocal({ dataCentre }: Pick<Leaf, "dataCentre">): boolean {
    return dataCentre === String(this.region);
  }

  /** Sends a call to a leaf; calls `onEnd` once the box has handled its outcome. */
  send({ leafId, workMs }: ReplayCall, onEnd: (outcome: AttemptOutcome) => void): void {
    const { models, schedule } = this.#options;
    const recordEnd = this.recordSent(leafId);
    const leaf = this.#leafs.get(leafId);
    const latencyMs =
      leaf !== undefined && this.isLocal(leaf) ? LOCAL_LATENCY_MS : REMOTE_LATENCY_MS;
    schedule.after(latencyMs, () => {
      models.get(leafId)?.receiveCall(workMs, (end) => {
        schedule.after(latencyMs, () => {
          this.runWhenIdle(() => {
            const { reportedLoad } = end;
            const slowdownFactor = this.#options.disabled.has("reported-pace")
              ? undefined
              : end.slowdownFactor;
            recordEnd(RESULTS[end.kind], {
              reportedLoad,
              slowdownFactor,
              slots: leaf?.slots ?? 1,
            });
            onEnd(OUTCOMES[end.kind]);
          });
        });
      });
    });
  }

  /** Records a call to a leaf, also one made by another box; returns a function that records its end. */
  recordSent(leafId: string): (result: CallEnd["result"], report?: ReportedLoad) => void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = recordCallSent(this.#healthOf(leafId), {
      callId,
      eventLoopIdleMs: this.eventLoopIdleMs,
    });
    this.#healthByLeaf.set(leafId, sent);
    return (result, report) => {
      const { nowMs } = this.#options.schedule;
      const end = { callId, nowMs, eventLoopIdleMs: this.eventLoopIdleMs, result, ...report };
      this.#healthByLeaf.set(
        leafId,
        this.#applyDisabledMechanisms(recordCallEnd(this.#healthOf(leafId), end)),
      );
    };
  }

  #applyDisabledMechanisms(health: LeafHealth): LeafHealth {
    return this.#options.disabled.has("loss-shares") ? { ...health, failureRate: 0 } : health;
  }

  #isAvailable(leaf: Leaf): boolean {
    const health = this.#healthForSelection(leaf.leafId);
    const isUsable = health.avoidUntilMs <= this.#options.schedule.nowMs;
    const isResponsive = !isUnresponsive(health, this.eventLoopIdleMs);
    return this.isLocal(leaf) && !isFull(health, leaf) && isUsable && isResponsive;
  }

  #healthOf(leafId: string): LeafHealth {
    return this.#healthByLeaf.get(leafId) ?? INITIAL_LEAF_HEALTH;
  }

  /** Health of a leaf as leaf selection sees it. */
  #healthForSelection(leafId: string): LeafHealth {
    const health = this.#healthOf(leafId);
    const ignoresUnresponsive = this.#options.disabled.has("silence");
    return ignoresUnresponsive
      ? { ...health, openCalls: health.openCalls.map(asJustSent) }
      : health;
  }

  #newBudgets(): ExtraCallBudgets {
    const { schedule, slackCalls, boxesSharingSlack } = this.#options;
    return new ExtraCallBudgets({
      nowMs: () => schedule.nowMs,
      share: () => EXTRA_CALL_SHARE,
      slackCalls: () => slackCalls,
      windowMs: () => EXTRA_CALL_WINDOW_MS,
      slackShare: () => 1 / boxesSharingSlack,
    });
  }
}

/** Criteria for selecting a leaf. */
export interface LeafSelection {
  readonly excluded: ReadonlySet<string>;
  readonly localOnly?: boolean;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs?: number | undefined;
}

/** Load that a leaf reported with an answer. */
interface ReportedLoad {
  readonly reportedLoad: number;
  readonly slowdownFactor: number | undefined;
  readonly slots: number;
}

/** Returns the call as if it had just been sent, so that its leaf never counts as unresponsive. */
function asJustSent(call: LeafHealth["openCalls"][number]): LeafHealth["openCalls"][number] {
  return { ...call, sentAtIdleMs: Number.POSITIVE_INFINITY };
}
