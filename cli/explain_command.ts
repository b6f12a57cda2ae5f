/**
 * Tells from the boxes' logs what became of a request, and why.
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

/** Time around a request in which a box's other lines may explain it, in milliseconds. */
const AROUND_MS = 5_000;

/** Bunyan's level of a warning; less is no explanation. */
const WARN_LEVEL = 40;

/** Beginnings of lines that tell of a change in what a box believes. */
const BELIEF_PREFIXES = ["configuration:", "leafs:", "fleet:", "store:", "box:"] as const;

/** Fields of a line that say nothing about the request. */
const PLAIN_FIELDS: ReadonlySet<string> = new Set([
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
 * Joins the lines of a request with what its boxes came to believe around it.
 *
 * @param requestId - Id of the request.
 * @param lines - Lines of all boxes' logs, in any order; what is no line of a box is passed over.
 * @returns Lines for a person, in the order of time; none where no log names the request.
 */
export function explainRequest(
  requestId: string,
  lines: ReadonlyArray<string>,
): ReadonlyArray<string> {
  const parsed = lines.flatMap((line) => parseLine(line) ?? []);
  const own = parsed.filter((line) => line.requestId === requestId);
  if (own.length === 0) {
    return [];
  }
  const around = parsed.filter((line) => {
    return line.requestId === undefined && isBelief(line) && own.some((each) => isNear(line, each));
  });
  return [...own, ...around]
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

function isBelief({ msg, level }: LogLine): boolean {
  return level >= WARN_LEVEL || BELIEF_PREFIXES.some((prefix) => msg.startsWith(prefix));
}

function isNear(line: LogLine, own: LogLine): boolean {
  return line.box === own.box && Math.abs(Date.parse(line.time) - Date.parse(own.time)) < AROUND_MS;
}

function fieldsText(line: LogLine): string {
  const fields = Object.entries(line).filter(([name]) => !PLAIN_FIELDS.has(name));
  return fields.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join("");
}

async function explain(requestId: string): Promise<CommandResult> {
  const lines: Array<string> = [];
  for await (const line of createInterface({ input: process.stdin })) {
    lines.push(line);
  }
  const explained = explainRequest(requestId, lines);
  if (explained.length === 0) {
    const text = `Cannot explain "${requestId}": no line of these logs names it; look for a box that was lost`;
    return { exitCode: EXIT_CODES.failed, lines: [text], data: { requestId, lines: [] } };
  }
  return { exitCode: EXIT_CODES.ok, lines: explained, data: { requestId, lines: explained } };
}

/** The command that explains a request. */
export const EXPLAIN_COMMANDS: Readonly<Record<string, Command>> = {
  explain: {
    usage: "REQUEST-ID < logs",
    help: "Tells from boxes' logs on standard input what became of a request, and what its box believed then",
    positionalCount: 1,
    specs: {},
    run: ({ positionals: words }) => explain(words[0] ?? ""),
  },
};
