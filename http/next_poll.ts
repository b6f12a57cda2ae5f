/**
 * Waits for the event loop to read what has arrived.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";

/**
 * Resolves once the event loop has accepted connections and read bytes that had arrived before, as
 * this process may have been stalled. The first immediate may run before that, if it is set while
 * the loop handles earlier ones.
 */
export async function nextPoll(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
