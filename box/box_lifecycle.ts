/**
 * The lifecycle of a box. During a planned stop it is removed from address lists first, keeps
 * serving until cached lists have expired, completes open requests and exits.
 *
 * @module
 */

import { nextPoll } from "../http/mod.js";
import {
  INITIAL_LIFECYCLE,
  type Lifecycle,
  type LifecycleEvent,
  lifecyclePhase,
  transitionLifecycle,
} from "../lifecycle/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/**
 * Time before the end of the stop's grace period from which no new connections are accepted, in
 * milliseconds.
 */
const FINISH_MS = 1_500;

/**
 * Time before the end of the stop's grace period at which open requests are answered in any case,
 * in milliseconds. Leaves time to write these answers on a busy machine.
 */
const ANSWER_MS = 500;

/**
 * Time before the end of the stop's grace period by which all connections are closed, in
 * milliseconds. Leaves time to write the log.
 */
const CLOSE_MS = 200;

/** Grace period below which these times are shortened in proportion, in milliseconds. */
const MIN_FULL_GRACE_MS = 3_000;

/** Interval of checks whether all requests have been answered, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Options of {@link BoxLifecycle}. */
export interface BoxLifecycleOptions {
  readonly nowMs: () => number;
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /** Closes the connections on which no request has been begun. */
  readonly closeIdle: () => void;
  /** Returns the number of requests that have been begun and not been answered completely. */
  readonly openCount: () => number;
  /** Called when the box is to be removed from address lists. */
  readonly onLeaving: () => void;
  /**
   * Called when callers' cached address lists have expired, so that no new connections need to be
   * accepted. Resolves once what had arrived before has been accepted and read.
   */
  readonly stopAccepting: () => Promise<void>;
  /**
   * Called once when all requests have been answered or are to be answered now.
   *
   * @param closeWithinMs - Time by which all connections are to be closed, in milliseconds.
   */
  readonly onEnd: (closeWithinMs: number) => void;
}

/** Times of a planned stop, in milliseconds. */
interface PlannedStop {
  readonly requestedAtMs: number;
  readonly finishAtMs: number;
  readonly answerAtMs: number;
  readonly closeAtMs: number;
}

const UNLIMITED = (): number => Number.POSITIVE_INFINITY;

/** Time that new requests have in each phase, by the time until open requests are answered. */
const REMAINING_TIMES: Readonly<
  Record<ReturnType<typeof lifecyclePhase>, (untilAnswerMs: number) => number>
> = {
  starting: UNLIMITED,
  ready: UNLIMITED,
  leaving: UNLIMITED,
  finishing: (untilAnswerMs) => Math.max(0, untilAnswerMs),
  stopped: () => 0,
};

function planStop(requestedAtMs: number, graceMs: number): PlannedStop {
  const scale = Math.min(1, graceMs / MIN_FULL_GRACE_MS);
  const beforeEnd = (beforeMs: number): number => requestedAtMs + graceMs - beforeMs * scale;
  return {
    requestedAtMs,
    finishAtMs: beforeEnd(FINISH_MS),
    answerAtMs: beforeEnd(ANSWER_MS),
    closeAtMs: beforeEnd(CLOSE_MS),
  };
}

/** The lifecycle of one box. */
export class BoxLifecycle {
  readonly #options: BoxLifecycleOptions;
  #lifecycle: Lifecycle = INITIAL_LIFECYCLE;
  #stop: PlannedStop | undefined;

  /**
   * @param options - Callbacks for each phase.
   */
  constructor(options: BoxLifecycleOptions) {
    this.#options = options;
  }

  /** Current phase. */
  get phase(): ReturnType<typeof lifecyclePhase> {
    return lifecyclePhase(this.#lifecycle);
  }

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this.#stop !== undefined;
  }

  /** Time since the planned stop began, in milliseconds; 0 if none has begun. */
  get sinceStopMs(): number {
    const nowMs = this.#options.nowMs();
    return Math.round(nowMs - (this.#stop?.requestedAtMs ?? nowMs));
  }

  /**
   * Time that requests which arrive now have until they are answered in any case, in milliseconds:
   * infinite while connections are accepted, 0 once the last requests have been answered.
   */
  get remainingMs(): number {
    return REMAINING_TIMES[this.phase]((this.#stop?.answerAtMs ?? 0) - this.#options.nowMs());
  }

  /** Marks that everything needed to serve requests is known. */
  markConfigured(): void {
    this.#transition("configured");
  }

  /**
   * Begins a planned stop; no effect if one has already begun.
   *
   * @param graceMs - Time until the process is killed, in milliseconds.
   */
  stop(graceMs: number): void {
    if (this.isStopping) {
      return;
    }
    this.#stop = planStop(this.#options.nowMs(), graceMs);
    this.#transition("stopRequested");
    this.#options.onLeaving();
    const { requestedAtMs, finishAtMs, answerAtMs } = this.#stop;
    setTimeout(() => void this.#finish(), finishAtMs - requestedAtMs);
    // Answers of leafs that have arrived are passed on first.
    setTimeout(() => void nextPoll().then(() => this.#end()), answerAtMs - requestedAtMs);
  }

  async #finish(): Promise<void> {
    this.#transition("adviceExpired");
    await this.#options.stopAccepting();
    const timer = setInterval(() => {
      this.#options.closeIdle();
      if (this.#options.openCount() === 0) {
        clearInterval(timer);
        this.#end();
      }
    }, CHECK_INTERVAL_MS);
  }

  #end(): void {
    if (this.phase === "stopped") {
      return;
    }
    this.#transition("drained");
    const closeAtMs = this.#stop?.closeAtMs ?? 0;
    this.#options.onEnd(Math.max(0, closeAtMs - this.#options.nowMs()));
  }

  #transition(event: LifecycleEvent["type"]): void {
    this.#lifecycle = transitionLifecycle(this.#lifecycle, event);
    this.#options.telemetry.event("info", "box: phase", { phase: this.phase, event });
  }
}
