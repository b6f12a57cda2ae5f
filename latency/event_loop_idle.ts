/**
 * A clock that runs only while this process waits, so that what it times is the other side.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/**
 * Tells how long this process has waited for something to happen since it started. Between two moments
 * it moves by the time that passed less what the process itself was busy, as long as it compiles code
 * after a start above all: without it a box that had just restarted took its own 100 to 200 ms a query
 * for queues at all leafs.
 *
 * @returns The time in milliseconds; it stands still while the process computes.
 */
export function eventLoopIdleMs(): number {
  return performance.eventLoopUtilization().idle;
}
