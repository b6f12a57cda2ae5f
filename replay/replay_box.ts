/**
 * A box in virtual time: runs the decision core against leafs, and asks leafs for other boxes.
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
import type { Without } from "./mechanism.js";
import type { LeafEnd, ReplayLeaf } from "./replay_leaf.js";

/** Time of a call's way to a leaf or box of another region, in milliseconds. */
export const FAR_WAY_MS = 8;

/** Time of a call's way within a region, in milliseconds. */
const NEAR_WAY_MS = 0.5;

/** Age at which a wait that a box told counts no more, as in the box daemon, in milliseconds. */
const TOLD_QUEUE_MS = 300;

/** Extra calls allowed in a window, as a share of the requests, and the window's length. */
const EXTRA_SHARE = 0.2;
const WINDOW_MS = 10_000;

/** What a box is made from. */
export interface ReplayBoxOptions {
  readonly schedule: Schedule;
  readonly region: number;
  /** Boxes among which the slack of extra calls is split. */
  readonly slackSharers: number;
  readonly slackCalls: number;
  readonly leafsByService: ReadonlyMap<string, ReadonlyArray<Leaf>>;
  readonly models: ReadonlyMap<string, ReplayLeaf>;
  readonly without: Without;
}

/** A call to a leaf. */
export interface ReplayCall {
  readonly leafId: string;
  readonly workMs: number;
}

const DONE: LeafAnswer = { statusCode: 200, headers: {}, signature: "x", body: Buffer.alloc(0) };

const OUTCOMES: Readonly<Record<LeafEnd["kind"], AttemptOutcome>> = {
  answered: { kind: "answered", answer: DONE },
  refused: { kind: "refused", reason: "full" },
  lost: { kind: "failed", sent: true, reason: "reset" },
};

const RESULTS: Readonly<Record<LeafEnd["kind"], CallEnd["result"]>> = {
  answered: "answered",
  refused: "full",
  lost: "failed",
};

/** One box. */
export class ReplayBox {
  readonly #options: ReplayBoxOptions;
  readonly #leafs: ReadonlyMap<string, Leaf>;
  readonly #conditions = new Map<string, LeafHealth>();
  #budgets: ExtraCallBudgets;
  readonly #looks = new Map<string, QueueSamples>();
  readonly #told = new Map<string, { readonly queueMs: number; readonly atMs: number }>();
  /** Moment until which the box computes and reads nothing. */
  #busyUntilMs = 0;
  /** Time for which it has been busy, in milliseconds. */
  #busyMs = 0;
  #nextCallId = 1;

  /**
   * @param options - What the box is made from.
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

  /** The moment by the clock that stands still while the box is busy. */
  get waitedMs(): number {
    const { schedule, without } = this.#options;
    return without.has("waiting-clock") ? schedule.nowMs : schedule.nowMs - this.#busyMs;
  }

  /** Forgets all that was learnt, as a start anew does. */
  forget(): void {
    for (const learnt of [this.#conditions, this.#looks, this.#told]) {
      learnt.clear();
    }
    this.#budgets = this.#newBudgets();
  }

  /**
   * Lets the box compute for a while; what comes in meanwhile is read after that.
   *
   * @param forMs - How long, in milliseconds.
   */
  compute(forMs: number): void {
    const now = this.#options.schedule.nowMs;
    this.#busyUntilMs = Math.max(now, this.#busyUntilMs) + forMs;
    this.#busyMs += forMs;
  }

  /**
   * Does something as soon as the box has time for it.
   *
   * @param run - What to do.
   */
  whenFree(run: () => void): void {
    const waitMs = this.#busyUntilMs - this.#options.schedule.nowMs;
    if (waitMs <= 0) {
      run();
    } else {
      this.#options.schedule.after(waitMs, () => this.whenFree(run));
    }
  }

  /** Credits a request to the budget of a service. */
  credit(service: string): void {
    this.#budgets.credit(service);
  }

  /** Notes the wait at an index's leafs; tells the one that all the latest looks have found. */
  noteQueue(index: string, queueMs: number): number {
    const { nowMs } = this.#options.schedule;
    const looks = addQueueSample(this.#looks.get(index) ?? [], { queueMs, atMs: nowMs });
    this.#looks.set(index, looks);
    return this.#options.without.has("standing-queues") ? queueMs : persistentQueueMs(looks);
  }

  /** Notes the wait that a box of a region has told. */
  noteTold(region: string, queueMs: number): void {
    this.#told.set(region, { queueMs, atMs: this.#options.schedule.nowMs });
  }

  /** Tells the wait at a region's leafs that a box there has told of late, in milliseconds. */
  #toldQueueMs(region: string): number {
    const told = this.#told.get(region);
    const isOld = (told?.atMs ?? 0) < this.#options.schedule.nowMs - TOLD_QUEUE_MS;
    return told === undefined || isOld ? 0 : told.queueMs;
  }

  /** Tells how many extra calls the budget of a service allows. */
  extraCallsLeft(service: string): number {
    return this.#budgets.remaining(service);
  }

  /** Takes an extra call out of the budget of a service, if it allows that. */
  takeExtraCall(service: string, kind: ExtraCallKind): boolean {
    if (kind === "hedge" && this.#options.without.has("hedging")) {
      return false;
    }
    return this.#budgets.tryTake(service, kind);
  }

  /** Picks a leaf; only near ones where another box asks. */
  choose(
    service: string,
    { excluded, isOnlyNear = false, objectiveMs }: ReplayChoice,
  ): ReturnType<typeof chooseLeaf> {
    const leafs = this.#options.leafsByService.get(service) ?? [];
    const fit = leafs.filter((leaf) => !isOnlyNear || this.#isSound(leaf));
    const { nowMs } = this.#options.schedule;
    const distance = (leaf: Leaf) => (this.isNear(leaf) ? "zone" : "remote");
    const seen = { health: (leafId: string) => this.#seenOf(leafId), distance, excluded };
    const told = (leaf: Leaf) => {
      const isTold = !this.isNear(leaf) && !this.#options.without.has("told-queues");
      return isTold ? this.#toldQueueMs(leaf.dataCentre) : 0;
    };
    const objective = this.#options.without.has("objective") ? {} : { objectiveMs };
    const view = {
      nowMs,
      eventLoopIdleMs: this.waitedMs,
      ...seen,
      ...objective,
      reportedQueueMs: told,
    };
    return chooseLeaf(fit, view);
  }

  /** Whether a leaf lies in the box's region. */
  isNear({ dataCentre }: Pick<Leaf, "dataCentre">): boolean {
    return dataCentre === String(this.region);
  }

  /** Sends a call to a leaf; tells how it ended when the box has read that. */
  send({ leafId, workMs }: ReplayCall, onEnd: (outcome: AttemptOutcome) => void): void {
    const { models, schedule } = this.#options;
    const note = this.noteSent(leafId);
    const leaf = this.#leafs.get(leafId);
    const wayMs = leaf !== undefined && this.isNear(leaf) ? NEAR_WAY_MS : FAR_WAY_MS;
    schedule.after(wayMs, () => {
      models.get(leafId)?.take(workMs, (end) => {
        schedule.after(wayMs, () => {
          this.whenFree(() => {
            const { reportedLoad } = end;
            const pace = this.#options.without.has("reported-pace") ? undefined : end.paceFactor;
            note(RESULTS[end.kind], {
              reportedLoad,
              slowdownFactor: pace,
              slots: leaf?.slots ?? 1,
            });
            onEnd(OUTCOMES[end.kind]);
          });
        });
      });
    });
  }

  /** Notes a call to a leaf, also one that another box makes; returns what notes its end. */
  noteSent(leafId: string): (result: CallEnd["result"], told?: ReportedLoad) => void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = recordCallSent(this.#conditionOf(leafId), {
      callId,
      eventLoopIdleMs: this.waitedMs,
    });
    this.#conditions.set(leafId, sent);
    return (result, told) => {
      const { nowMs } = this.#options.schedule;
      const end = { callId, nowMs, eventLoopIdleMs: this.waitedMs, result, ...told };
      this.#conditions.set(leafId, this.#judged(recordCallEnd(this.#conditionOf(leafId), end)));
    };
  }

  #judged(condition: LeafHealth): LeafHealth {
    return this.#options.without.has("loss-shares") ? { ...condition, failureRate: 0 } : condition;
  }

  #isSound(leaf: Leaf): boolean {
    const condition = this.#seenOf(leaf.leafId);
    const isWell = condition.avoidUntilMs <= this.#options.schedule.nowMs;
    const isHeard = !isUnresponsive(condition, this.waitedMs);
    return this.isNear(leaf) && !isFull(condition, leaf) && isWell && isHeard;
  }

  #conditionOf(leafId: string): LeafHealth {
    return this.#conditions.get(leafId) ?? INITIAL_LEAF_HEALTH;
  }

  /** What leafs are chosen by. */
  #seenOf(leafId: string): LeafHealth {
    const condition = this.#conditionOf(leafId);
    const isDeaf = this.#options.without.has("silence");
    return isDeaf ? { ...condition, openCalls: condition.openCalls.map(justSent) } : condition;
  }

  #newBudgets(): ExtraCallBudgets {
    const { schedule, slackCalls, slackSharers } = this.#options;
    return new ExtraCallBudgets({
      nowMs: () => schedule.nowMs,
      share: () => EXTRA_SHARE,
      slackCalls: () => slackCalls,
      windowMs: () => WINDOW_MS,
      slackShare: () => 1 / slackSharers,
    });
  }
}

/** What a leaf is chosen by. */
export interface ReplayChoice {
  readonly excluded: ReadonlySet<string>;
  readonly isOnlyNear?: boolean;
  /** Time within which the answer is worth most, in milliseconds. */
  readonly objectiveMs?: number | undefined;
}

/** Load that a leaf told with an answer. */
interface ReportedLoad {
  readonly reportedLoad: number;
  readonly slowdownFactor: number | undefined;
  readonly slots: number;
}

/** As if the call had just been sent, so that its leaf never seems silent. */
function justSent(call: LeafHealth["openCalls"][number]): LeafHealth["openCalls"][number] {
  return { ...call, sentAtIdleMs: Number.POSITIVE_INFINITY };
}
