/**
 * Prints the logs of the processes that failed tests started.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { basename, join } from "node:path";

/** Number of last lines that are printed of each process. */
const LAST_LINES = 25;

/** Number of lines with a warning or an error that are printed of each process. */
const WARNING_LINES = 25;

/** Maximum length of a printed line, in characters. */
const MAX_LINE_CHARS = 500;

/** Maximum number of processes of a test file whose logs are printed. */
const MAX_PROCESSES = 40;

/** Lowest bunyan level of a warning. */
const WARNING_LEVEL = 40;

/**
 * Selects the lines of a log that are printed: warnings, errors and all lines that are not log
 * records, and the last lines whatever they are.
 *
 * @param lines - Lines of the log.
 * @returns The selected lines, in order.
 */
export function selectLines(lines: ReadonlyArray<string>): ReadonlyArray<string> {
  const earlier = lines.slice(0, -LAST_LINES).filter(isNotable).slice(-WARNING_LINES);
  return [...earlier, ...lines.slice(-LAST_LINES)].map((line) => line.slice(0, MAX_LINE_CHARS));
}

/**
 * Formats the logs of a failed test file.
 *
 * @param directory - Directory with the logs of all test files.
 * @param testFile - The failed test file.
 * @returns Lines to print; empty if the test file started no process.
 */
export function formatFailureLogs(directory: string, testFile: string): ReadonlyArray<string> {
  const testDirectory = join(directory, basename(testFile));
  if (!existsSync(testDirectory)) {
    return [];
  }
  const names = readdirSync(testDirectory)
    .filter((name) => name.endsWith(".log"))
    .sort();
  return names.slice(0, MAX_PROCESSES).flatMap((name) => {
    const lines = readFileSync(join(testDirectory, name), "utf8").trimEnd().split("\n");
    return [`log of ${basename(testFile)}, ${name}:`, ...selectLines(lines)];
  });
}

/**
 * Deletes the logs of test files that have not failed.
 *
 * @param directory - Directory with the logs of all test files.
 * @param failedFiles - The failed test files.
 */
export function deletePassedLogs(directory: string, failedFiles: ReadonlyArray<string>): void {
  const failedNames = new Set(failedFiles.map((file) => basename(file)));
  for (const name of existsSync(directory) ? readdirSync(directory) : []) {
    if (!failedNames.has(name)) {
      rmSync(join(directory, name), { recursive: true, force: true });
    }
  }
}

function isNotable(line: string): boolean {
  try {
    const record = JSON.parse(line) as { readonly level?: number } | null;
    return (record?.level ?? WARNING_LEVEL) >= WARNING_LEVEL;
  } catch {
    return true;
  }
}
