/**
 * A clock that excludes the time for which this process itself was busy.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/**
 * Returns the total idle time of the event loop. Intervals measured with it contain the time spent
 * waiting for others, but not this process's own computation, such as compiling code after a start.
 *
 * @returns The idle time, in milliseconds. It does not advance while the process computes.
 */
export function eventLoopIdleMs(): number {
  return performance.eventLoopUtilization().idle;
}
