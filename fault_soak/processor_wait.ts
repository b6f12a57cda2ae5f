/**
 * Tells how long a process has waited for a processor, so that a box that is held up by a busy
 * machine is told from one that does not exit.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const NS_PER_MS = 1_000_000;

/**
 * Reads for how long the main thread of a process has been ready and waited for a processor.
 *
 * @param pid - The process.
 * @returns Time since its start, in milliseconds; `undefined` if the system does not tell it.
 */
export function processorWaitMs(pid: number): number | undefined {
  try {
    const [, waitedNs] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ");
    return Number(waitedNs) / NS_PER_MS;
  } catch {
    return undefined;
  }
}
