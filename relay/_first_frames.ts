/**
 * Tracks whether boxes send the first frame of relay requests in time. A box that has stalled is
 * noticed by its late frame, and others may have stalled together with it.
 *
 * @module
 */

/**
 * Fraction of the time allowed for the first frame for which the event loop must have been idle
 * before a box counts as late. While this process is stalled, the frame may have arrived without
 * having been read.
 */
const MIN_IDLE_FRAME_SHARE = 0.35;

/** A first frame that has not been received. */
interface ExpectedFrame {
  readonly memberId: string;
  readonly sentAtMs: number;
  /** Time at which the box counts as late, in milliseconds. */
  readonly dueAtMs: number;
  /** Event-loop idle time that must have been reached by then, in milliseconds. */
  readonly dueAtIdleMs: number;
}

/** Options of {@link FirstFrames}. */
export interface FirstFramesOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
}

/** A request whose first frame is expected. */
export interface FrameExpectation {
  readonly callId: number;
  /** The relaying box. */
  readonly memberId: string;
  /** Time within which the frame is expected, in milliseconds. */
  readonly firstFrameMs: number;
}

/** The first frames of the relay requests of one box. */
export class FirstFrames {
  readonly #options: FirstFramesOptions;
  readonly #expected = new Map<number, ExpectedFrame>();
  /** When a first frame was last received, in milliseconds, by box. */
  readonly #lastFrameAtMs = new Map<string, number>();

  /**
   * @param options - Clocks.
   */
  constructor(options: FirstFramesOptions) {
    this.#options = options;
  }

  /**
   * Records that a request has been sent.
   *
   * @param expectation - The request and the time within which its first frame is expected.
   */
  expect({ callId, memberId, firstFrameMs }: FrameExpectation): void {
    const sentAtMs = this.#options.nowMs();
    this.#expected.set(callId, {
      memberId,
      sentAtMs,
      dueAtMs: sentAtMs + firstFrameMs,
      dueAtIdleMs: this.#options.eventLoopIdleMs() + firstFrameMs * MIN_IDLE_FRAME_SHARE,
    });
  }

  /**
   * Records that a first frame has been received.
   *
   * @param memberId - The box that sent it.
   */
  recordFrame(memberId: string): void {
    this.#lastFrameAtMs.set(memberId, this.#options.nowMs());
  }

  /**
   * Records that a request is no longer waiting for its first frame.
   *
   * @param callId - The request.
   */
  settle(callId: number): void {
    this.#expected.delete(callId);
  }

  /**
   * Returns which boxes are late.
   *
   * @returns When the earliest request whose first frame is late was sent, in milliseconds, by box.
   */
  lateSinceMs(): ReadonlyMap<string, number> {
    const nowMs = this.#options.nowMs();
    const idleMs = this.#options.eventLoopIdleMs();
    const late = new Map<string, number>();
    for (const { memberId, sentAtMs, dueAtMs, dueAtIdleMs } of this.#expected.values()) {
      if (nowMs >= dueAtMs && idleMs >= dueAtIdleMs) {
        late.set(memberId, Math.min(sentAtMs, late.get(memberId) ?? sentAtMs));
      }
    }
    return late;
  }

  /**
   * Returns whether a first frame has been received from a box since a time.
   *
   * @param memberId - The box.
   * @param sinceMs - The time, in milliseconds.
   * @returns Whether the box is known to have responded since.
   */
  hasResponded(memberId: string, sinceMs: number): boolean {
    return (this.#lastFrameAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY) >= sinceMs;
  }
}
