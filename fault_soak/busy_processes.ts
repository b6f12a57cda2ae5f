/**
 * Processes that keep processors busy beside the programs.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";

/** Time after which a busy process ends by itself, in milliseconds: this process may be killed. */
const MAX_BUSY_MS = 600_000;

const PROGRAM = `const untilMs = Date.now() + ${MAX_BUSY_MS}; while (Date.now() < untilMs);`;

/**
 * Starts busy processes.
 *
 * @param count - Number of processes.
 * @returns Function that ends them.
 */
export function startBusyProcesses(count: number): () => void {
  const children = Array.from({ length: count }, (): ChildProcess => {
    return spawn(process.execPath, ["-e", PROGRAM], { stdio: "ignore" });
  });
  return () => {
    for (const child of children) {
      child.kill("SIGKILL");
    }
  };
}
