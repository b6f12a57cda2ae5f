/**
 * The command that explains the outcome of a request from the boxes' logs.
 *
 * @module
 */
import { createInterface } from "node:readline";
import { type Command, type CommandResult, EXIT_CODES } from "./command.js";

/** A line of a box's log. */
interface LogLine {
  readonly box: string;
  readonly time: string;
  readonly msg: string;
  readonly level: number;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

/**
 * Maximum time between a request's log line and other lines that may explain it, in milliseconds.
 */
const MAX_TIME_DISTANCE_MS = 5_000;

/** Bunyan's level of warnings, the minimum for lines without one of the prefixes. */
const WARN_LEVEL = 40;

/** Prefixes of log lines on state changes of a box. */
const STATE_CHANGE_PREFIXES = [
  ...["configuration:", "leafs:", "fleet:", "store:", "box:"],
  ...["rollout:", "rollouts:"],
] as const;

/** Fields that are omitted because they do not explain a request. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "name",
  "box",
  "hostname",
  "pid",
  "level",
  "msg",
  "time",
  "v",
  "requestId",
]);

/**
 * Joins the log lines of a request with those on state changes of its boxes around the same time.
 *
 * @param requestId - Id of the request.
 * @param lines - Lines of all boxes' logs, in any order; lines in other formats are ignored.
 * @returns Human-readable lines, sorted by time; empty if no log contains the request.
 */
export function explainRequest(
  requestId: string,
  lines: ReadonlyArray<string>,
): ReadonlyArray<string> {
  const parsed = lines.flatMap((line) => parseLine(line) ?? []);
  const requestLines = parsed.filter((line) => line.requestId === requestId);
  if (requestLines.length === 0) {
    return [];
  }
  const contextLines = parsed.filter((line) => {
    return (
      line.requestId === undefined &&
      isStateChange(line) &&
      requestLines.some((each) => isAround(line, each))
    );
  });
  return [...requestLines, ...contextLines]
    .sort((a, b) => (a.time < b.time ? -1 : 1))
    .map((line) => `${line.time} ${line.box} ${line.msg}${fieldsText(line)}`);
}

function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf("{");
  if (start < 0) {
    return undefined;
  }
  try {
    const parsed = JSON.parse(line.slice(start)) as Partial<LogLine>;
    const isLine = typeof parsed.msg === "string" && typeof parsed.time === "string";
    return isLine ? (parsed as LogLine) : undefined;
  } catch {
    return undefined;
  }
}

function isStateChange({ msg, level }: LogLine): boolean {
  return level >= WARN_LEVEL || STATE_CHANGE_PREFIXES.some((prefix) => msg.startsWith(prefix));
}

function isAround(line: LogLine, requestLine: LogLine): boolean {
  return (
    line.box === requestLine.box &&
    Math.abs(Date.parse(line.time) - Date.parse(requestLine.time)) < MAX_TIME_DISTANCE_MS
  );
}

function fieldsText(line: LogLine): string {
  const fields = Object.entries(line).filter(([name]) => !OMITTED_FIELDS.has(name));
  return fields.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join("");
}

async function explain(requestId: string): Promise<CommandResult> {
  const lines: Array<string> = [];
  for await (const line of createInterface({ input: process.stdin })) {
    lines.push(line);
  }
  const explained = explainRequest(requestId, lines);
  if (explained.length === 0) {
    const text = `Cannot explain "${requestId}": these logs do not contain it; check whether a box has crashed`;
    return { exitCode: EXIT_CODES.failed, lines: [text], data: { requestId, lines: [] } };
  }
  return { exitCode: EXIT_CODES.ok, lines: explained, data: { requestId, lines: explained } };
}

/** The command that explains a request. */
export const EXPLAIN_COMMANDS: Readonly<Record<string, Command>> = {
  explain: {
    usage: "REQUEST-ID < logs",
    help: "Shows the log lines of a request and of its box's state changes around it, from boxes' logs on standard input",
    positionalCount: 1,
    specs: {},
    run: ({ positionals }) => explain(positionals[0] ?? ""),
  },
};
