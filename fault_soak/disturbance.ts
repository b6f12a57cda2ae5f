/**
 * Periods in which boxes or the store were disturbed, and the deadlines that follow from them.
 *
 * @module
 */

/** Time within which undisturbed boxes must apply a change in the store, in milliseconds. */
const CHANGE_DEADLINE_MS = 3_000;

/** Time after a disturbance within which boxes must recover, in milliseconds. */
const RECOVERY_MS = 2_500;

/** A period in which boxes or the store were disturbed, in milliseconds on this process's clock. */
export interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Returns whether boxes could be disturbed, or recovering, at a given time.
 *
 * @param atMs - Time on this process's clock, in milliseconds.
 * @param disturbances - All disturbances.
 * @returns Whether deadlines are suspended at that time.
 */
export function isDisturbed(atMs: number, disturbances: ReadonlyArray<Disturbance>): boolean {
  return disturbances.some(({ fromMs, untilMs }) => {
    return atMs >= fromMs && atMs <= untilMs + RECOVERY_MS;
  });
}

/**
 * Computes the time by which a change must be applied. A disturbance before that time moves it to the end of the
 * recovery, if that is later; the two limits are not added.
 *
 * @param atMs - Time of the change on this process's clock, in milliseconds.
 * @param disturbances - All disturbances.
 * @returns The deadline, in milliseconds on this process's clock.
 */
export function changeDueAtMs(atMs: number, disturbances: ReadonlyArray<Disturbance>): number {
  let dueMs = atMs + CHANGE_DEADLINE_MS;
  for (const { fromMs, untilMs } of disturbances.toSorted((a, b) => a.fromMs - b.fromMs)) {
    const recoveredAtMs = untilMs + RECOVERY_MS;
    if (fromMs < dueMs && recoveredAtMs > atMs) {
      dueMs = Math.max(dueMs, recoveredAtMs);
    }
  }
  return dueMs;
}
