/**
 * Starts programs of this repository as child processes.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { createProcessLog } from "./process_log.js";

/** Time within which a process must report its ports, in milliseconds. */
const START_TIMEOUT_MS = 20_000;

/** A process of the fleet. */
export interface FleetProcess {
  readonly pid: number;
  /** Ports that the process reported, by name. */
  readonly ports: Readonly<Record<string, number>>;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code when the process exits; -1 if it was terminated by a signal. */
  readonly exited: Promise<number>;
  /** Last lines of the output of the process. */
  readonly logTail: ReadonlyArray<string>;
}

/** Options of {@linkcode startProcess}. */
export interface StartOptions {
  /** Environment variables to add to those of the current process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Text of the log line that shows that the process is ready; by default, the line with its ports. */
  readonly startedText?: string;
  /** File descriptor for its standard output, which is then not read; a pipe by default. */
  readonly outputFd?: number | undefined;
}

/**
 * Starts a program of this repository and waits until it is ready.
 *
 * @param program - Path of the compiled program below `dist`.
 * @param args - Command-line arguments.
 * @param options - Environment, and the log line that shows that the process is ready.
 * @returns The process.
 * @throws {Error} If the process exits or does not become ready in time.
 */
export async function startProcess(
  program: string,
  args: ReadonlyArray<string>,
  { env = {}, startedText, outputFd }: StartOptions = {},
): Promise<FleetProcess> {
  const path = new URL(`../${program}`, import.meta.url).pathname;
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", outputFd ?? "pipe", "pipe"],
    env: { ...process.env, ...env },
  });
  const ended = new Promise<number>((resolve) => {
    child.on("exit", (code) => resolve(code ?? -1));
  });
  const logTail: Array<string> = [];
  const log = createProcessLog(program, child.pid ?? 0);
  const onLine = (line: string): void => {
    log?.append(line);
    logTail.push(line);
    if (logTail.length > MAX_LOG_LINES) {
      logTail.shift();
    }
  };
  const ports =
    outputFd === undefined ? await waitForPorts(child, { logTail, startedText, onLine }) : {};
  return {
    pid: child.pid ?? 0,
    ports,
    signal: (signal) => void child.kill(signal),
    exited: ended,
    logTail,
  };
}

const MAX_LOG_LINES = 200;

interface WaitForPortsOptions {
  readonly logTail: ReadonlyArray<string>;
  readonly startedText: string | undefined;
  /** Called with each line of the output, also after the process is ready. */
  readonly onLine: (line: string) => void;
}

function waitForPorts(
  child: ChildProcess,
  { logTail, startedText, onLine }: WaitForPortsOptions,
): Promise<Readonly<Record<string, number>>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error("Cannot start process: not ready in time")),
      START_TIMEOUT_MS,
    );
    function handleLine(line: string): void {
      onLine(line);
      if (line.startsWith('{"listening"')) {
        clearTimeout(timer);
        resolve((JSON.parse(line) as { listening: Record<string, number> }).listening);
      } else if (startedText !== undefined && line.includes(startedText)) {
        clearTimeout(timer);
        resolve({});
      }
    }
    child.on("exit", (code) => {
      clearTimeout(timer);
      reject(
        new Error(
          `Cannot start process: exited with code ${code}: ${logTail.slice(-5).join(" | ")}`,
        ),
      );
    });
    if (child.stdout !== null && child.stderr !== null) {
      createInterface({ input: child.stdout }).on("line", handleLine);
      createInterface({ input: child.stderr }).on("line", handleLine);
    }
  });
}
