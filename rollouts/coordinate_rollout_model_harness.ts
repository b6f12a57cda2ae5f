/**
 * A small model of boxes that coordinate one order, of their messages, and of the store.
 *
 * @module
 */
import type { Rollout } from "../model/mod.js";
import { coordinateRollout, startCoordinatingRollout } from "./coordinate_rollout.js";
import type {
  CoordinationEffect,
  CoordinationEvent,
  CoordinationState,
  RolloutStatusWrite,
  WriteResult,
} from "./coordination_types.js";

/** Length of a step of the model, in milliseconds. */
const STEP_MS = 50;
/**
 * Time for which a box is down in a restart, in milliseconds; longer than a message is under way.
 */
const RESTART_MS = 1_000;
/** Maximum time for which a message is under way, in milliseconds. */
const MAX_MESSAGE_DELAY_MS = 400;
/** Maximum time after which a write without an answer takes effect, in milliseconds. */
const MAX_LATE_WRITE_MS = 4_000;

/** A fault of the model. `split` makes the substitute coordinate beside the first box. */
export interface Fault {
  readonly kind: "restart" | "crash" | "cutOff" | "split" | "storeDown";
  readonly box: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** Course of a run. */
export interface ModelPlan {
  readonly seed: number;
  readonly faults: ReadonlyArray<Fault>;
  /** Share of messages and of answers of the store that are lost while faults occur, 0 to 1. */
  readonly loss: number;
  /** Time at which all boxes judge the target as bad, in milliseconds; `undefined` for never. */
  readonly badAtMs: number | undefined;
  /** Time at which messages and answers are no longer lost, in milliseconds. */
  readonly healAtMs: number;
}

interface ModelBox {
  readonly name: string;
  incarnation: number;
  isUp: boolean;
  /** Latest known view of the order; a restarted box sends no calls without one. */
  view: Rollout | undefined;
  revision: number | undefined;
  /** Latest attempt that the box has confirmed; 0 if none. */
  confirmed: number;
  state: CoordinationState | undefined;
}

const ORDER: Rollout = {
  ...{ service: "search", targetVersion: "v2", durationMs: 10_000, orderPosition: 10 },
  ...{ orderedAtMs: 0, state: "running", attempt: 0, stage: "gradual", isBad: false },
  retiredVersions: [],
};
const BOUNDS = { exposureShare: 1, exposureSlackCalls: 50 } as const;

/** Boxes and a store on virtual time. */
export class RolloutModel {
  nowMs = 0;
  readonly boxes: ReadonlyArray<ModelBox>;
  /** States that the store's status has had. */
  readonly history: Array<RolloutStatusWrite> = [];
  revision: number = ORDER.orderPosition;
  readonly #plan: ModelPlan;
  readonly #due: Array<{ readonly atMs: number; readonly run: () => void }> = [];
  #random: number;

  /**
   * @param plan - Faults of the run.
   */
  constructor(plan: ModelPlan) {
    this.#plan = plan;
    this.#random = plan.seed;
    this.boxes = [0, 1, 2].map((index) => ({
      ...{ name: `box-${index}`, incarnation: 1, isUp: true, view: ORDER },
      ...{ revision: ORDER.orderPosition, confirmed: 0, state: undefined },
    }));
    for (const { atMs, box, forMs, kind } of plan.faults) {
      const isDown = kind === "restart" || kind === "crash";
      if (isDown) {
        this.#after(atMs, () => this.#stop(box));
        this.#after(atMs + RESTART_MS + (kind === "crash" ? forMs : 0), () => this.#start(box));
      }
    }
  }

  /** Advances the time by one step. */
  step(): void {
    this.nowMs += STEP_MS;
    for (const { run } of this.#takeDue()) {
      run();
    }
    const { badAtMs } = this.#plan;
    for (const box of this.boxes.filter(({ isUp }) => isUp)) {
      this.#confirm(box);
      if (badAtMs !== undefined && this.nowMs >= badAtMs && box.view?.isBad === false) {
        this.#merge(box, { ...box.view, isBad: true });
        this.#send(box, this.boxes, box.view);
      }
      if (this.nowMs % 500 === 0) {
        this.#send(box, this.boxes, box.view);
        this.#watch(box);
      }
      if (this.nowMs % 100 === 0 && box.view !== undefined) {
        this.#coordinate(box, box.view);
      }
    }
  }

  /**
   * Returns whether a box may send a call to the old version.
   *
   * @param box - The box.
   * @returns Whether it may.
   */
  mayCallBaseline({ confirmed, isUp, view }: ModelBox): boolean {
    if (!isUp || view === undefined || view.state === "completed") {
      return false;
    }
    const isSwitching = view.state === "running" && view.stage === "switching";
    return !isSwitching || (view.isBad && confirmed !== view.attempt);
  }

  /** Whether the store has recorded `completed`. */
  get isCompleted(): boolean {
    return this.history.some(({ state }) => state === "completed");
  }

  #coordinate(box: ModelBox, view: Rollout): void {
    const { nowMs } = this;
    box.state ??= startCoordinatingRollout(view, { ...BOUNDS, nowMs });
    const peers = this.boxes.map((each) => ({
      box: each.name,
      incarnation: `${each.incarnation}`,
      isDead: !each.isUp,
    }));
    const reachable = this.boxes.filter((each) => each.isUp && this.#areLinked(each, box));
    const confirmations = reachable.map(({ confirmed, incarnation, name }) => {
      return { box: name, incarnation: `${incarnation}`, attempt: confirmed };
    });
    const leafs = { targetCount: 2, canServeAlone: true, baselineVersions: ["v1"] };
    const events: ReadonlyArray<CoordinationEvent> = [
      { kind: "viewed", order: view, revision: box.revision },
      { kind: "reports", requests: nowMs, targetCalls: nowMs / 100, confirmations },
      { kind: "members", members: peers, listedBoxes: 3 },
      { kind: "leafs", leafs },
      { kind: "tick", nowMs, role: this.#roleOf(box), storeEra: 0 },
    ];
    for (const event of events) {
      this.#advance(box, event);
    }
  }

  #advance(box: ModelBox, event: CoordinationEvent): void {
    if (box.state !== undefined) {
      const { effects, state } = coordinateRollout(box.state, event);
      box.state = state;
      for (const effect of effects) {
        this.#perform(box, effect);
      }
    }
  }

  #perform(box: ModelBox, effect: CoordinationEffect): void {
    if (effect.kind === "apply") {
      this.#merge(box, effect.order);
    } else if (effect.kind === "announce") {
      const boxes = this.boxes.filter(({ name }) => effect.boxes.includes(name));
      this.#send(box, boxes, effect.order);
    } else if (effect.kind === "writeStatus") {
      this.#write(box, effect.write);
    }
  }

  /** Sends a write, which may be lost, refused or late, or whose answer may be lost. */
  #write(box: ModelBox, write: RolloutStatusWrite): void {
    const { incarnation } = box;
    const answerAfter = (delayMs: number, result: () => WriteResult): void => {
      this.#after(this.nowMs + delayMs, () => {
        const made = result();
        if (box.incarnation === incarnation && box.isUp) {
          this.#advance(box, { kind: "answered", write, result: made });
        }
      });
    };
    if (this.#isFaulty() && this.#chance(this.#plan.loss)) {
      const isRefused = this.#chance(0.3);
      if (!isRefused && this.#chance(0.7)) {
        const lateMs = this.#chance(0.5) ? 0 : this.#below(MAX_LATE_WRITE_MS);
        this.#after(this.nowMs + lateMs, () => this.#apply(write));
      }
      answerAfter(isRefused ? 50 : 1_500, () => ({ kind: isRefused ? "unavailable" : "unclear" }));
    } else if (this.#isActive("storeDown")) {
      answerAfter(50, () => ({ kind: "unavailable" }));
    } else {
      answerAfter(this.#below(200), () => this.#apply(write));
    }
  }

  #apply(write: RolloutStatusWrite): WriteResult {
    if (write.expectedRevision === this.revision) {
      this.revision += 1;
      this.history.push(write);
      return { kind: "done", revision: this.revision };
    }
    const current = { order: this.#stored(), revision: this.revision, isRecorded: true };
    return { kind: "conflict", current };
  }

  /** View that the status contains; it has no stage. */
  #stored(): Rollout {
    const { attempt = 0, state = "running" } = this.history.at(-1) ?? {};
    return { ...ORDER, attempt, state };
  }

  #watch(box: ModelBox): void {
    const order = this.#stored();
    const { revision } = this;
    if (!this.#isActive("storeDown") && box.view !== undefined) {
      this.#after(this.nowMs + this.#below(MAX_MESSAGE_DELAY_MS), () => {
        if (box.isUp && box.view !== undefined) {
          box.revision = Math.max(revision, box.revision ?? 0);
          this.#merge(box, order);
        }
      });
    }
  }

  #send(from: ModelBox, to: ReadonlyArray<ModelBox>, view: Rollout | undefined): void {
    for (const box of to.filter((each) => each !== from && view !== undefined)) {
      const isLost = this.#isFaulty() && this.#chance(this.#plan.loss);
      const copies = isLost ? 0 : this.#chance(0.2) ? 2 : 1;
      // A box takes its first view from answers to its own messages, which were sent after its
      // start; an earlier view could be that of before the switch.
      const { incarnation } = box;
      const isAnswer = box.isUp;
      for (let copy = 0; copy < copies; copy += 1) {
        this.#after(this.nowMs + this.#below(MAX_MESSAGE_DELAY_MS), () => {
          const isCurrent = isAnswer && box.isUp && box.incarnation === incarnation;
          if (isCurrent && this.#areLinked(from, box) && view !== undefined) {
            this.#merge(box, view);
          }
        });
      }
    }
  }

  #merge(box: ModelBox, view: Rollout): void {
    const isBad = view.isBad || box.view?.isBad === true;
    if (box.view === undefined && view.stage === "switching") {
      // `completed` may have been sent without waiting for this incarnation, so it may not call the
      // old version even if the new one is bad. It never has, so it confirms at once.
      box.confirmed = view.attempt;
    }
    const isLater = box.view === undefined || rankOf(view) > rankOf(box.view);
    box.view = { ...(isLater ? view : (box.view ?? view)), isBad };
  }

  /** Confirms the attempt once the open calls have ended, which takes some steps. */
  #confirm(box: ModelBox): void {
    const { view } = box;
    const isSwitching = view?.state === "running" && view.stage === "switching" && !view.isBad;
    if (isSwitching && this.#chance(0.4)) {
      box.confirmed = view.attempt;
    }
  }

  #stop(index: number): void {
    const box = this.boxes[index];
    if (box !== undefined) {
      Object.assign(box, { isUp: false, view: undefined, state: undefined, confirmed: 0 });
    }
  }

  #start(index: number): void {
    const box = this.boxes[index];
    if (box !== undefined && !box.isUp) {
      box.incarnation += 1;
      Object.assign(box, { isUp: true, revision: undefined });
    }
  }

  #roleOf(box: ModelBox): "first" | "substitute" | "none" {
    const [first, second] = this.boxes;
    if (box === first) {
      return "first";
    }
    const isFirstGone = first?.isUp === false || this.#isActive("split");
    return box === second && isFirstGone ? "substitute" : "none";
  }

  #areLinked(one: ModelBox, other: ModelBox): boolean {
    const cut = this.#plan.faults.find((fault) => fault.kind === "cutOff" && this.#covers(fault));
    const cutBox = cut && this.boxes[cut.box];
    return one === other || (one !== cutBox && other !== cutBox);
  }

  #isActive(kind: Fault["kind"]): boolean {
    return this.#plan.faults.some((fault) => fault.kind === kind && this.#covers(fault));
  }

  #covers({ atMs, forMs }: Fault): boolean {
    return this.nowMs >= atMs && this.nowMs < atMs + forMs;
  }

  #isFaulty(): boolean {
    return this.nowMs < this.#plan.healAtMs;
  }

  #after(atMs: number, run: () => void): void {
    this.#due.push({ atMs, run });
  }

  #takeDue(): ReadonlyArray<{ readonly run: () => void }> {
    const due = this.#due.filter(({ atMs }) => atMs <= this.nowMs);
    const later = this.#due.filter(({ atMs }) => atMs > this.nowMs);
    this.#due.splice(0, this.#due.length, ...later);
    return due;
  }

  #below(max: number): number {
    this.#random = (Math.imul(this.#random, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor((this.#random / 2 ** 32) * max);
  }

  #chance(share: number): boolean {
    return this.#below(1_000) < share * 1_000;
  }
}

function rankOf({ attempt, stage, state }: Rollout): number {
  return (state === "running" ? 0 : 1_000_000) + attempt * 2 + (stage === "switching" ? 1 : 0);
}
