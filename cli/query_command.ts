/**
 * The command that sends a query, and those that check policy programs.
 *
 * @module
 */
import type { QueryAnswer } from "../model/mod.js";
import { CommandError, callEntry, EntryError, errorMessage, readJsonFile } from "./_entry_http.js";
import {
  type Command,
  type CommandContext,
  type CommandResult,
  type CommandSettings,
  EXIT_CODES,
  POLICY_SPECS,
  QUERY_SPECS,
} from "./command.js";

async function query({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const once = await onceFields(settings);
  const body = { ...queryBody(settings), ...once };
  const path = `/v1/services/${positionals[0]}/query`;
  const answer = await callEntry(settings.entry, { method: "POST", path, body }).catch((error) => {
    throw unclearError(error, once);
  });
  const result = answer.body as Partial<QueryAnswer>;
  if (result.outcome === undefined) {
    throw new CommandError(errorMessage(answer.body), EXIT_CODES.usage);
  }
  const isAnswered = result.outcome === "complete" || result.outcome === "partial";
  const exitCode = isAnswered
    ? EXIT_CODES.ok
    : result.outcome === "unknown"
      ? EXIT_CODES.unclear
      : EXIT_CODES.failed;
  return { exitCode, lines: describe(result as QueryAnswer), data: result };
}

/** A query whose answer is cut may have run; its ticket allows to ask for the outcome. */
function unclearError(error: unknown, { ticket }: OnceFields): unknown {
  if (!(error instanceof EntryError) || !error.mayBeSent) {
    return error;
  }
  const repeat = ticket === undefined ? "" : `, it was sent under ticket ${ticket}, sequence 1`;
  const message = `${error.message}; it is unclear whether the query ran${repeat}`;
  return new CommandError(message, EXIT_CODES.unclear);
}

function queryBody(settings: CommandSettings): object {
  const { caller, rights, priority } = settings;
  return {
    caller,
    ...(rights === "" ? {} : { rights }),
    priority,
    deadlineMs: settings["deadline-ms"],
    merge: {
      ...(settings["order-by"] === "" ? {} : { orderBy: settings["order-by"] }),
      ...(settings["limit-rows"] === 0 ? {} : { limitRows: settings["limit-rows"] }),
    },
    body: parseBody(settings.body),
  };
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new CommandError(`Cannot parse --body "${text}": not JSON`, EXIT_CODES.usage);
  }
}

interface OnceFields {
  readonly repeatable?: false;
  readonly ticket?: string;
  readonly sequence?: number;
}

async function onceFields({ once, entry }: CommandSettings): Promise<OnceFields> {
  if (!once) {
    return {};
  }
  const { body } = await callEntry(entry, { method: "GET", path: "/v1/entries?ticket=true" });
  const { ticket } = body as { readonly ticket: string };
  return { repeatable: false, ticket, sequence: 1 };
}

function describe(answer: QueryAnswer): ReadonlyArray<string> {
  const { outcome, notRun, message, snapshot, coverage, rows, retryAfterMs, revision } = answer;
  const head = `${outcome}${notRun ? ": not run" : ""}${message === "" ? "" : `: ${message}`}`;
  const lacking = coverage.lacking.map(({ shard, reason }) => `${shard} (${reason})`);
  return [
    head,
    `snapshot ${snapshot || "none"}, revision ${revision}, ${coverage.included.length} shards included`,
    ...(lacking.length === 0 ? [] : [`lacking ${lacking.join(", ")}`]),
    ...(retryAfterMs === 0 ? [] : [`retry after ${retryAfterMs} ms`]),
    ...rows.map((row) => JSON.stringify(row)),
  ];
}

async function checkPolicies({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const file = readJsonFile(positionals[0] ?? "") as { readonly policies?: unknown } | null;
  const policies = file?.policies ?? file;
  const sample = settings.sample === "" ? undefined : readJsonFile(settings.sample);
  const answer = await callEntry(settings.entry, {
    method: "POST",
    path: "/v1/policies/check",
    body: { policies, ...(sample === undefined ? {} : { sample }) },
  });
  if (answer.statusCode !== 200) {
    return {
      exitCode: EXIT_CODES.failed,
      lines: [errorMessage(answer.body)],
      data: answer.body,
    };
  }
  const { decision } = answer.body as { readonly decision: Readonly<Record<string, unknown>> };
  const lines = Object.entries(decision).map(
    ([name, value]) => `${name}: ${JSON.stringify(value)}`,
  );
  return { exitCode: EXIT_CODES.ok, lines: ["accepted", ...lines], data: answer.body };
}

/** Commands by name. */
export const QUERY_COMMANDS: Readonly<Record<string, Command>> = {
  query: {
    usage: "SERVICE",
    help: "Sends a query and prints the answer",
    positionalCount: 1,
    specs: QUERY_SPECS,
    run: query,
  },
  "policy check": {
    usage: "FILE",
    help: "Checks the policies of a file and shows their decisions for a default request",
    positionalCount: 1,
    specs: {},
    run: checkPolicies,
  },
  "policy dry-run": {
    usage: "FILE",
    help: "Shows the decisions of a file's policies for a sample request",
    positionalCount: 1,
    specs: POLICY_SPECS,
    run: checkPolicies,
  },
};
