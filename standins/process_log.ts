/**
 * Keeps the output of the processes that a test starts, so that a failure can be traced afterwards.
 *
 * @module
 */
import { appendFileSync, mkdirSync, renameSync } from "node:fs";
import { basename, join } from "node:path";

/**
 * Name of the environment variable with the directory for the logs; without it, nothing is written.
 */
export const LOG_DIRECTORY_VARIABLE = "RACKVALE_TEST_LOGS";

/**
 * Size at which a log file is replaced by a new one, in bytes. The one before is kept, so that the
 * latest lines are always available.
 */
const MAX_FILE_BYTES = 2_000_000;

/** Suffix of the earlier file of a log that has been replaced. */
const EARLIER_SUFFIX = ".earlier";

/** Log files of one process. */
export interface ProcessLogOptions {
  /** Directory for the logs of all tests. */
  readonly directory: string;
  /** Name of the test file that started the process. */
  readonly testFile: string;
  /** Program that the process runs, as a path. */
  readonly program: string;
  readonly pid: number;
  /** Size at which a log file is replaced, in bytes. */
  readonly maxFileBytes?: number;
}

/** Writes the output of one process to a file, synchronously as the test may be killed. */
export class ProcessLog {
  readonly #path: string;
  readonly #maxFileBytes: number;
  #fileBytes = 0;

  /**
   * @param options - Where the log is written.
   */
  constructor({
    directory,
    testFile,
    program,
    pid,
    maxFileBytes = MAX_FILE_BYTES,
  }: ProcessLogOptions) {
    const testDirectory = join(directory, basename(testFile));
    mkdirSync(testDirectory, { recursive: true });
    this.#path = join(testDirectory, `${basename(program, ".js")}-${pid}.log`);
    this.#maxFileBytes = maxFileBytes;
  }

  /**
   * Appends a line.
   *
   * @param line - The line, without its end.
   */
  append(line: string): void {
    const text = `${line}\n`;
    const sizeBytes = Buffer.byteLength(text);
    if (this.#fileBytes > 0 && this.#fileBytes + sizeBytes > this.#maxFileBytes) {
      renameSync(this.#path, this.#path + EARLIER_SUFFIX);
      this.#fileBytes = 0;
    }
    appendFileSync(this.#path, text);
    this.#fileBytes += sizeBytes;
  }
}

/**
 * Creates the log of a process of the current test.
 *
 * @param program - Program that the process runs, as a path.
 * @param pid - Id of the process.
 * @returns The log, or `undefined` if no directory for logs is set.
 */
export function createProcessLog(program: string, pid: number): ProcessLog | undefined {
  const directory = process.env[LOG_DIRECTORY_VARIABLE];
  if (directory === undefined) {
    return undefined;
  }
  return new ProcessLog({ directory, testFile: process.argv[1] ?? "unknown", program, pid });
}
