/**
 * Starting programs of this repository as processes.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Time a process has to say where it listens, in milliseconds. */
const START_MS = 20_000;

/** A process of the installation. */
export interface FleetProcess {
  readonly pid: number;
  /** Ports that the process said it listens on. */
  readonly ports: Readonly<Record<string, number>>;
  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has ended; -1 where a signal ended it. */
  readonly ended: Promise<number>;
  /** The last lines of its log. */
  readonly logTail: ReadonlyArray<string>;
}

/** How a process is started. */
export interface StartOptions {
  /** Environment variables besides the own ones. */
  readonly env?: Readonly<Record<string, string>>;
  /** Text of the log line by which it says that it listens; by default a line with its ports. */
  readonly startedText?: string;
}

/**
 * Starts a program of this repository and waits until it listens.
 *
 * @param program - Path of the compiled program below `dist`.
 * @param args - Its arguments.
 * @param options - Its environment, and how it says that it listens.
 * @returns The process.
 */
export async function startProcess(
  program: string,
  args: ReadonlyArray<string>,
  { env = {}, startedText }: StartOptions = {},
): Promise<FleetProcess> {
  const path = new URL(`../${program}`, import.meta.url).pathname;
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...env },
  });
  const ended = new Promise<number>((resolve) => {
    child.on("exit", (code) => resolve(code ?? -1));
  });
  const logTail: Array<string> = [];
  const ports = await listeningPorts(child, { logTail, startedText });
  return {
    pid: child.pid ?? 0,
    ports,
    signal: (signal) => void child.kill(signal),
    ended,
    logTail,
  };
}

const LOG_LINES = 200;

interface ListeningOptions {
  readonly logTail: Array<string>;
  readonly startedText: string | undefined;
}

function listeningPorts(
  child: ChildProcess,
  { logTail, startedText }: ListeningOptions,
): Promise<Readonly<Record<string, number>>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error("Cannot start: no port told")), START_MS);
    function note(line: string): void {
      logTail.push(line);
      if (logTail.length > LOG_LINES) {
        logTail.shift();
      }
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
      reject(new Error(`Cannot start: ended with ${code}: ${logTail.slice(-5).join(" | ")}`));
    });
    if (child.stdout !== null && child.stderr !== null) {
      createInterface({ input: child.stdout }).on("line", note);
      createInterface({ input: child.stderr }).on("line", note);
    }
  });
}
