/**
 * Periods in which boxes or the store were disturbed, and the deadlines that follow from them.
 *
 * @module
 */

/** Time within which undisturbed boxes must apply a change in the store, in milliseconds. */
const CHANGE_DEADLINE_MS = 3_000;

/** Time after a disturbance within which boxes must recover, in milliseconds. */
const RECOVERY_MS = 2_500;

/**
 * Time after a fault of a link within which a call may reach a leaf late, in milliseconds: the
 * boxes' `contactMs`.
 */
const LINK_RECOVERY_MS = 2_000;

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
 * Returns whether a link could have held up a call that arrived at a given time.
 *
 * @param atMs - Time on this process's clock, in milliseconds.
 * @param faults - All faults of the link.
 * @returns Whether the link was faulty then or shortly before.
 */
export function isHeldUp(atMs: number, faults: ReadonlyArray<Disturbance>): boolean {
  return faults.some(({ fromMs, untilMs }) => {
    return atMs >= fromMs && atMs <= untilMs + LINK_RECOVERY_MS;
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
