/**
 * The life of a box from its start to the end of a planned stop: no longer advised, serves on, finishes
 * what it took, ends.
 *
 * @module
 */
import {
  INITIAL_LIFECYCLE,
  type Lifecycle,
  type LifecycleEvent,
  lifecyclePhase,
  transitionLifecycle,
} from "../lifecycle/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Time before the end of the stop's grace at which new requests are no longer taken, in milliseconds. */
const FINISH_MS = 1_500;

/** Time before the end of the stop's grace at which the process ends in any case, in milliseconds. */
const EXIT_MS = 250;

/** Time between two looks whether all requests have their answers, in milliseconds. */
const LOOK_EVERY_MS = 50;

/** What a box does as its life goes on. */
export interface BoxLifecycleOptions {
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /** Requests that have no answer yet. */
  readonly runningCount: () => number;
  /** Called when the box is no longer to be advised. */
  readonly onLeaving: () => void;
  /** Called when callers' advice has run out, so that no new requests need be taken. */
  readonly onFinishing: () => void;
  /** Called once when all is done. */
  readonly onEnd: () => void;
}

/** The life of one box. */
export class BoxLifecycle {
  readonly #options: BoxLifecycleOptions;
  #lifecycle: Lifecycle = INITIAL_LIFECYCLE;
  #stopping = false;

  /**
   * @param options - What the box does as its life goes on.
   */
  constructor(options: BoxLifecycleOptions) {
    this.#options = options;
  }

  /** Where the box is in its life. */
  get phase(): ReturnType<typeof lifecyclePhase> {
    return lifecyclePhase(this.#lifecycle);
  }

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this.#stopping;
  }

  /** Says that all that is needed to serve is known. */
  markConfigured(): void {
    this.#move("configured");
  }

  /**
   * Begins a planned stop; once begun, it is not begun again.
   *
   * @param graceMs - Time until the process is killed, in milliseconds.
   */
  stop(graceMs: number): void {
    if (this.#stopping) {
      return;
    }
    this.#stopping = true;
    this.#move("stopRequested");
    this.#options.onLeaving();
    setTimeout(() => this.#finish(), graceMs - FINISH_MS);
    setTimeout(() => this.#end(), graceMs - EXIT_MS);
  }

  #finish(): void {
    this.#move("adviceExpired");
    this.#options.onFinishing();
    const timer = setInterval(() => {
      if (this.#options.runningCount() === 0) {
        clearInterval(timer);
        this.#end();
      }
    }, LOOK_EVERY_MS);
  }

  #end(): void {
    if (this.phase === "stopped") {
      return;
    }
    this.#move("drained");
    this.#options.onEnd();
  }

  #move(event: LifecycleEvent["type"]): void {
    this.#lifecycle = transitionLifecycle(this.#lifecycle, event);
    this.#options.telemetry.event("info", "box: phase", { phase: this.phase, event });
  }
}
