/**
 * Finds the command that was asked for and runs it.
 *
 * @module
 */
import { helpText, parseSettings, type SettingSource } from "../settings/mod.js";
import { CommandError } from "./_entry_http.js";
import { BOXES_COMMANDS } from "./boxes_command.js";
import {
  ALL_SPECS,
  COMMON_SPECS,
  type Command,
  type CommandResult,
  type CommandSettings,
  EXIT_CODES,
} from "./command.js";
import { EXPLAIN_COMMANDS } from "./explain_command.js";
import { objectCommands } from "./object_commands.js";
import { QUERY_COMMANDS } from "./query_command.js";
import { STATUS_COMMANDS } from "./status_command.js";

const COMMANDS: Readonly<Record<string, Command>> = {
  ...objectCommands({ noun: "service", path: "services", kind: "service" }),
  ...objectCommands({ noun: "shardmap", path: "shardmaps", kind: "shardmap" }),
  ...QUERY_COMMANDS,
  ...STATUS_COMMANDS,
  ...EXPLAIN_COMMANDS,
  ...BOXES_COMMANDS,
};

/** What the program prints and ends with. */
export interface ProgramResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/**
 * Runs the command line.
 *
 * @param source - Arguments and environment.
 * @returns What to print and the exit code.
 */
export async function runCommand({ args, env }: SettingSource): Promise<ProgramResult> {
  const [first = "", second = ""] = args;
  const name = COMMANDS[`${first} ${second}`] === undefined ? first : `${first} ${second}`;
  const command = COMMANDS[name];
  if (command === undefined) {
    return overview(args);
  }
  const specs = { ...COMMON_SPECS, ...command.specs };
  const rest = args.slice(name.split(" ").length);
  const parsed = parseSettings(specs, { args: rest, env });
  if (parsed.isErr()) {
    return usageFault(parsed.error.join("\n"));
  }
  const { help, positionals: words, settings } = parsed.value;
  const usage = `Usage: rackvale ${name} ${command.usage}`.trimEnd();
  if (help) {
    const output = helpText(`${usage}\n\n${command.help}.`, specs);
    return { exitCode: EXIT_CODES.ok, output, errors: "" };
  }
  const { positionalCount: wordCount, optionalPositionalCount: optionalWordCount = 0 } = command;
  if (words.length < wordCount || words.length > wordCount + optionalWordCount) {
    return usageFault(`Cannot run "${name}": expected ${command.usage || "no words"}`);
  }
  const full = { ...fallbacks(), ...settings } as CommandSettings;
  return finish(await runSafely(command, { settings: full, positionals: words }), full.json);
}

function fallbacks(): Partial<CommandSettings> {
  return parseSettings(ALL_SPECS, { args: [], env: {} })
    .map(({ settings }) => settings)
    .unwrapOr({} as CommandSettings);
}

async function runSafely(
  command: Command,
  context: Parameters<Command["run"]>[0],
): Promise<CommandResult | CommandError> {
  try {
    return await command.run(context);
  } catch (error) {
    if (error instanceof CommandError) {
      return error;
    }
    throw error;
  }
}

function finish(end: CommandResult | CommandError, asJson: boolean): ProgramResult {
  if (end instanceof CommandError) {
    return { exitCode: end.exitCode, output: "", errors: `${end.message}\n` };
  }
  const text = asJson ? JSON.stringify(end.data, null, 2) : end.lines.join("\n");
  return { exitCode: end.exitCode, output: `${text}\n`, errors: "" };
}

function usageFault(message: string): ProgramResult {
  return { exitCode: EXIT_CODES.usage, output: "", errors: `${message}\n` };
}

function overview(args: ReadonlyArray<string>): ProgramResult {
  const lines = Object.entries(COMMANDS).map(([name, { usage, help }]) => {
    return `  ${`${name} ${usage}`.padEnd(26)} ${help}`;
  });
  const output = ["Usage: rackvale COMMAND", "", "Commands:", ...lines, ""].join("\n");
  const asked = args.includes("--help");
  const known = args.length === 0 || asked;
  return {
    exitCode: asked ? EXIT_CODES.ok : EXIT_CODES.usage,
    output: known ? output : "",
    errors: known ? "" : `Cannot find command "${args.slice(0, 2).join(" ")}"; see --help\n`,
  };
}
