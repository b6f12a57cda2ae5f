/**
 * The clock of this process. All ages and deadlines of a box are told by it.
 *
 * @module
 */
import { uptime } from "node:os";
import { SuspendAwareClock } from "./suspend_aware_clock.js";

/** The clock of this process. */
export const BOX_CLOCK = new SuspendAwareClock({
  monotonicMs: () => performance.now(),
  epochMs: () => Date.now(),
  bootMs: () => uptime() * 1_000,
});

/**
 * Tells the moment.
 *
 * @returns Milliseconds since the process started, suspensions of the box included.
 */
export function nowMs(): number {
  return BOX_CLOCK.nowMs();
}
