/**
 * The clock of this process, by which a box measures all ages and deadlines.
 *
 * @module
 */
import { uptime } from "node:os";
import { SuspendAwareClock } from "./suspend_aware_clock.js";

/** Clock that all modules of this process share. */
export const BOX_CLOCK = new SuspendAwareClock({
  monotonicMs: () => performance.now(),
  epochMs: () => Date.now(),
  bootMs: () => uptime() * 1_000,
});

/**
 * Returns the current time.
 *
 * @returns Milliseconds since the process started, including time in which the box was suspended.
 */
export function nowMs(): number {
  return BOX_CLOCK.nowMs();
}
