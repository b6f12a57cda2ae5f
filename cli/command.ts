/**
 * Types, flags and exit codes shared by all commands.
 *
 * @module
 */
import type { SettingSpecs, Settings } from "../settings/mod.js";

/** Exit codes of the command line. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unclear: 4,
} as const;

/** Result of a command. */
export interface CommandResult {
  readonly exitCode: number;
  /** Human-readable output. */
  readonly lines: ReadonlyArray<string>;
  /** Output for `--json`. */
  readonly data: unknown;
}

/** Flags of all commands. */
export const COMMON_SPECS = {
  entry: {
    kind: "url",
    help: "Any entry of the system, as http://address:port",
    fallback: "http://127.0.0.1:7400",
  },
  json: { kind: "flag", help: "Prints JSON instead of text", fallback: "false" },
} as const satisfies SettingSpecs;

/** Flags of commands that change an object. */
export const SUBMIT_SPECS = {
  author: { kind: "text", help: "Name of the submitter", fallback: "operator" },
  base: {
    kind: "text",
    help: "Revision that the change replaces; by default the one in force",
    fallback: "",
  },
  submission: {
    kind: "text",
    help: "Id of the submission; repeat it to resolve an unclear outcome",
    fallback: "",
  },
  wait: {
    kind: "flag",
    help: "Waits until the change is in force on every reachable box",
    fallback: "false",
  },
  "wait-ms": {
    kind: "number",
    help: "Maximum wait, in milliseconds",
    fallback: "30000",
    min: 0,
    max: 600_000,
  },
} as const satisfies SettingSpecs;

/** Flags of the query command. */
export const QUERY_SPECS = {
  body: { kind: "text", help: "Query body for the leafs, as JSON", fallback: "null" },
  "deadline-ms": {
    kind: "number",
    help: "Deadline of the query, in milliseconds",
    fallback: "1000",
    min: 1,
    max: 60_000,
  },
  caller: { kind: "text", help: "Name of the caller", fallback: "operator" },
  rights: { kind: "text", help: "Scope of rights; by default the caller's own", fallback: "" },
  priority: {
    kind: "choice",
    help: "Urgency: urgent, high, normal or low",
    choices: ["urgent", "high", "normal", "low"],
    fallback: "normal",
  },
  "order-by": { kind: "text", help: "Field to order rows by", fallback: "" },
  "limit-rows": {
    kind: "number",
    help: "Maximum number of rows; 0 for all",
    fallback: "0",
    min: 0,
    max: 100_000,
  },
  once: {
    kind: "flag",
    help: "Marks the query as not repeatable and obtains a ticket for it",
    fallback: "false",
  },
} as const satisfies SettingSpecs;

/** Flags of policy commands. */
export const POLICY_SPECS = {
  sample: {
    kind: "text",
    help: 'File with a sample request, as {"request": …, "load": …}',
    fallback: "",
  },
} as const satisfies SettingSpecs;

/** Flags of the `boxes` command. */
export const BOXES_SPECS = {
  all: { kind: "flag", help: "Lists each box, even if there are many", fallback: "false" },
} as const satisfies SettingSpecs;

/** All flags. */
export const ALL_SPECS = {
  ...COMMON_SPECS,
  ...SUBMIT_SPECS,
  ...QUERY_SPECS,
  ...POLICY_SPECS,
  ...BOXES_SPECS,
};

/** Values of all flags; a command uses those in its `specs`. */
export type CommandSettings = Settings<typeof ALL_SPECS>;

/** Input of a command. */
export interface CommandContext {
  readonly settings: CommandSettings;
  /** Positional arguments after the command's name. */
  readonly positionals: ReadonlyArray<string>;
}

/** A command. */
export interface Command {
  /** Positional arguments as shown in the help. */
  readonly usage: string;
  readonly help: string;
  /** Number of required positional arguments. */
  readonly positionalCount: number;
  /** Number of optional positional arguments; 0 by default. */
  readonly optionalPositionalCount?: number;
  readonly specs: SettingSpecs;
  readonly run: (context: CommandContext) => Promise<CommandResult>;
}
