/**
 * A leaf in virtual time: slots, a queue, pauses and faults.
 *
 * @module
 */
import { fnv1a } from "../hashing/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { LeafFault, SlowPeriods } from "./load_pattern.js";

/** Number of values of a hash. */
const HASH_RANGE = 2 ** 32;

/** Queued calls at which a leaf refuses further ones. */
const MAX_QUEUED_CALLS = 12;

/** How a call ended at a leaf, with the load that the leaf reports. */
export interface LeafCallEnd {
  readonly kind: "answered" | "refused" | "failed";
  /** Running and queued calls. */
  readonly reportedLoad: number;
  /** Current slowdown; 1 is normal speed. */
  readonly slowdownFactor: number;
}

/** Options of a {@linkcode ReplayLeaf}. */
export interface ReplayLeafOptions {
  readonly schedule: Schedule;
  readonly slots: number;
  readonly pauseMs: number;
  readonly pauseIntervalMs: number;
  /** Offset of the pause within each interval, in milliseconds. */
  readonly pauseOffsetMs: number;
  /** Faults that affect this leaf. */
  readonly faults: ReadonlyArray<LeafFault>;
  /** Random slow periods, with the leaf's own seed. */
  readonly slowPeriods: (SlowPeriods & { readonly seed: string }) | undefined;
}

interface QueuedCall {
  readonly workMs: number;
  readonly onEnd: (end: LeafCallEnd) => void;
}

/** A simulated leaf. */
export class ReplayLeaf {
  readonly #options: ReplayLeafOptions;
  readonly #queue: Array<QueuedCall> = [];
  #running = 0;

  /**
   * @param options - Options of the leaf.
   */
  constructor(options: ReplayLeafOptions) {
    this.#options = options;
  }

  /**
   * Receives a call, and queues or refuses it.
   *
   * @param workMs - Processing time of the call on a healthy leaf, in milliseconds.
   * @param onEnd - Called once when the call has ended.
   */
  receiveCall(workMs: number, onEnd: (end: LeafCallEnd) => void): void {
    const isShed = this.#options.schedule.chance(this.#strengthOf("shed"));
    if (isShed || this.#queue.length >= MAX_QUEUED_CALLS) {
      onEnd({ kind: "refused", ...this.#loadReport() });
      return;
    }
    this.#queue.push({ workMs, onEnd });
    this.#runNext();
  }

  #loadReport(): Pick<LeafCallEnd, "slowdownFactor" | "reportedLoad"> {
    return { reportedLoad: this.#load(), slowdownFactor: this.#slowdownFactor() };
  }

  #slowdownFactor(): number {
    return Math.max(1, this.#strengthOf("slow")) * this.#slowPeriodFactor();
  }

  #slowPeriodFactor(): number {
    const { schedule, slowPeriods } = this.#options;
    if (slowPeriods === undefined) {
      return 1;
    }
    const period = Math.floor(schedule.nowMs / slowPeriods.periodMs);
    const draw = fnv1a(`${slowPeriods.seed} ${period}`) / HASH_RANGE;
    return draw < slowPeriods.share ? slowPeriods.factor : 1;
  }

  #load(): number {
    return this.#running + this.#queue.length;
  }

  #strengthOf(kind: LeafFault["kind"]): number {
    const { faults, schedule } = this.#options;
    const now = schedule.nowMs;
    const active = faults.filter((fault) => {
      return fault.kind === kind && fault.fromMs <= now && now < fault.untilMs;
    });
    return Math.max(0, ...active.map(({ strength }) => strength));
  }

  #runNext(): void {
    const { schedule, slots } = this.#options;
    const call = this.#running < slots ? this.#queue.shift() : undefined;
    if (call === undefined) {
      return;
    }
    this.#running += 1;
    const workMs = call.workMs * this.#slowdownFactor();
    schedule.after(workMs + this.#pauseDuring(workMs), () => {
      this.#running -= 1;
      const hasFailed = schedule.chance(this.#strengthOf("reset"));
      call.onEnd({ kind: hasFailed ? "failed" : "answered", ...this.#loadReport() });
      this.#runNext();
    });
  }

  /** Returns the time of a pause that delays a call, in milliseconds. */
  #pauseDuring(workMs: number): number {
    const { pauseIntervalMs, pauseMs, pauseOffsetMs, schedule } = this.#options;
    const sinceMs = (schedule.nowMs - pauseOffsetMs + pauseIntervalMs) % pauseIntervalMs;
    if (sinceMs < pauseMs) {
      return pauseMs - sinceMs;
    }
    return sinceMs + workMs > pauseIntervalMs ? pauseMs : 0;
  }
}
