/**
 * What commands are made of.
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

/** What a command ends with. */
export interface CommandResult {
  readonly exitCode: number;
  /** Lines for a person. */
  readonly lines: ReadonlyArray<string>;
  /** The same as data, for `--json`. */
  readonly data: unknown;
}

/** Flags that all commands have. */
export const COMMON_SPECS = {
  entry: {
    kind: "url",
    help: "Any entry of the system, as http://address:port",
    fallback: "http://127.0.0.1:7400",
  },
  json: { kind: "flag", help: "Prints data in place of text", fallback: "false" },
} as const satisfies SettingSpecs;

/** Flags of commands that change an object. */
export const SUBMIT_SPECS = {
  author: { kind: "text", help: "Who submits", fallback: "operator" },
  base: {
    kind: "text",
    help: "Revision that the change replaces; by default the one in force",
    fallback: "",
  },
  submission: {
    kind: "text",
    help: "Id of the submission; give the same again to settle an unclear one",
    fallback: "",
  },
  wait: {
    kind: "flag",
    help: "Waits until the change is in force on every box that can be reached",
    fallback: "false",
  },
  "wait-ms": {
    kind: "number",
    help: "Longest wait, in milliseconds",
    fallback: "30000",
    min: 0,
    max: 600_000,
  },
} as const satisfies SettingSpecs;

/** Flags of the query command. */
export const QUERY_SPECS = {
  body: { kind: "text", help: "What the leafs are asked, as JSON", fallback: "null" },
  "deadline-ms": {
    kind: "number",
    help: "Time until the answer is of no use, in milliseconds",
    fallback: "1000",
    min: 1,
    max: 60_000,
  },
  caller: { kind: "text", help: "Who asks", fallback: "operator" },
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
    help: "Most rows; 0 for all",
    fallback: "0",
    min: 0,
    max: 100_000,
  },
  once: {
    kind: "flag",
    help: "Marks the query as not repeatable and takes a ticket for it",
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

/** Flags of the command that shows boxes. */
export const BOXES_SPECS = {
  all: { kind: "flag", help: "A line for each box, also where there are many", fallback: "false" },
} as const satisfies SettingSpecs;

/** All flags. */
export const ALL_SPECS = {
  ...COMMON_SPECS,
  ...SUBMIT_SPECS,
  ...QUERY_SPECS,
  ...POLICY_SPECS,
  ...BOXES_SPECS,
};

/** All flags as read; a command uses those it names. */
export type CommandSettings = Settings<typeof ALL_SPECS>;

/** What a command runs with. */
export interface CommandContext {
  readonly settings: CommandSettings;
  /** Words behind the command's name. */
  readonly positionals: ReadonlyArray<string>;
}

/** One command. */
export interface Command {
  /** Words that follow the name, for the help. */
  readonly usage: string;
  readonly help: string;
  /** Number of words that must follow. */
  readonly positionalCount: number;
  /** Number of words that may follow besides; none by default. */
  readonly optionalPositionalCount?: number;
  readonly specs: SettingSpecs;
  readonly run: (context: CommandContext) => Promise<CommandResult>;
}
