/**
 * Times in which boxes or the store were disturbed, and what that means for bounds on time.
 *
 * @module
 */

/** Time in which a change in the store is acted on by boxes that nothing disturbs, in milliseconds. */
const NEWS_DUE_MS = 3_000;

/** Time after a disturbance from which boxes must act in time again, in milliseconds. */
const SOUND_AFTER_MS = 2_500;

/** A time in which boxes or the store were disturbed, on this process's clock, in milliseconds. */
export interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Whether some boxes were not held to bounds on time at a moment. */
export function isDisturbed(atMs: number, disturbances: ReadonlyArray<Disturbance>): boolean {
  return disturbances.some(({ fromMs, untilMs }) => {
    return atMs >= fromMs && atMs <= untilMs + SOUND_AFTER_MS;
  });
}

/**
 * Moment at which news must be acted on: each disturbance that comes before it puts it off, until boxes
 * must act in time again. What came before that is due then; the two times do not add up.
 */
export function newsDueAtMs(atMs: number, disturbances: ReadonlyArray<Disturbance>): number {
  let dueMs = atMs + NEWS_DUE_MS;
  for (const { fromMs, untilMs } of disturbances.toSorted((a, b) => a.fromMs - b.fromMs)) {
    const soundAtMs = untilMs + SOUND_AFTER_MS;
    if (fromMs < dueMs && soundAtMs > atMs) {
      dueMs = Math.max(dueMs, soundAtMs);
    }
  }
  return dueMs;
}
