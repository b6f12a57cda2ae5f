/**
 * A leaf in virtual time: slots, a queue, pauses, and what goes wrong with it.
 *
 * @module
 */
import { fnv1a } from "../hashing/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { LeafFault, SlowSpells } from "./load_pattern.js";

/** Values that a hash may have. */
const HASHES = 2 ** 32;

/** Calls that wait at a leaf before it refuses more. */
const MOST_WAITING = 12;

/** How a call ended at a leaf, with the load that the leaf tells. */
export interface LeafEnd {
  readonly kind: "answered" | "refused" | "lost";
  /** Calls running and waiting. */
  readonly reportedLoad: number;
  /** Times as long as usual that work takes now. */
  readonly paceFactor: number;
}

/** What a leaf is made from. */
export interface ReplayLeafOptions {
  readonly schedule: Schedule;
  readonly slots: number;
  readonly pauseMs: number;
  readonly pauseEveryMs: number;
  /** Moment within its period at which it pauses, in milliseconds. */
  readonly pausesAtMs: number;
  /** What goes wrong with this leaf. */
  readonly faults: ReadonlyArray<LeafFault>;
  /** Its slow spells, and what tells them from those of others. */
  readonly spells: (SlowSpells & { readonly seed: string }) | undefined;
}

interface WaitingCall {
  readonly workMs: number;
  readonly onEnd: (end: LeafEnd) => void;
}

/** One leaf. */
export class ReplayLeaf {
  readonly #options: ReplayLeafOptions;
  readonly #waiting: Array<WaitingCall> = [];
  #running = 0;

  /**
   * @param options - What the leaf is made from.
   */
  constructor(options: ReplayLeafOptions) {
    this.#options = options;
  }

  /**
   * Takes a call.
   *
   * @param workMs - Time that the call takes a healthy leaf, in milliseconds.
   * @param onEnd - Told once how it ended.
   */
  take(workMs: number, onEnd: (end: LeafEnd) => void): void {
    const sheds = this.#options.schedule.chance(this.#strengthOf("shed"));
    if (sheds || this.#waiting.length >= MOST_WAITING) {
      onEnd({ kind: "refused", ...this.#told() });
      return;
    }
    this.#waiting.push({ workMs, onEnd });
    this.#runNext();
  }

  #told(): Pick<LeafEnd, "paceFactor" | "reportedLoad"> {
    return { reportedLoad: this.#load(), paceFactor: this.#paceFactor() };
  }

  #paceFactor(): number {
    return Math.max(1, this.#strengthOf("slow")) * this.#spellFactor();
  }

  #spellFactor(): number {
    const { schedule, spells } = this.#options;
    if (spells === undefined) {
      return 1;
    }
    const period = Math.floor(schedule.nowMs / spells.periodMs);
    const draw = fnv1a(`${spells.seed} ${period}`) / HASHES;
    return draw < spells.share ? spells.factor : 1;
  }

  #load(): number {
    return this.#running + this.#waiting.length;
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
    const call = this.#running < slots ? this.#waiting.shift() : undefined;
    if (call === undefined) {
      return;
    }
    this.#running += 1;
    const workMs = call.workMs * this.#paceFactor();
    schedule.after(workMs + this.#pauseWithin(workMs), () => {
      this.#running -= 1;
      const isLost = schedule.chance(this.#strengthOf("lose"));
      call.onEnd({ kind: isLost ? "lost" : "answered", ...this.#told() });
      this.#runNext();
    });
  }

  /** Time of the pause that falls into a call's work, in milliseconds. */
  #pauseWithin(workMs: number): number {
    const { pauseEveryMs, pauseMs, pausesAtMs, schedule } = this.#options;
    const sinceMs = (schedule.nowMs - pausesAtMs + pauseEveryMs) % pauseEveryMs;
    if (sinceMs < pauseMs) {
      return pauseMs - sinceMs;
    }
    return sinceMs + workMs > pauseEveryMs ? pauseMs : 0;
  }
}
