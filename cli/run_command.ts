/**
 * Selects a command by its name and runs it.
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
import { ROLLOUTS_COMMANDS } from "./rollouts_command.js";
import { STATUS_COMMANDS } from "./status_command.js";

const COMMANDS: Readonly<Record<string, Command>> = {
  ...objectCommands({ noun: "service", path: "services", kind: "service" }),
  ...objectCommands({ noun: "shardmap", path: "shardmaps", kind: "shardmap" }),
  ...QUERY_COMMANDS,
  ...STATUS_COMMANDS,
  ...EXPLAIN_COMMANDS,
  ...BOXES_COMMANDS,
  ...ROLLOUTS_COMMANDS,
};

/** Output and exit code of the program. */
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
  const commandArgs = args.slice(name.split(" ").length);
  const parsed = parseSettings(specs, { args: commandArgs, env });
  if (parsed.isErr()) {
    return usageError(parsed.error.join("\n"));
  }
  const { help, positionals, settings } = parsed.value;
  const usage = `Usage: rackvale ${name} ${command.usage}`.trimEnd();
  if (help) {
    const output = helpText(`${usage}\n\n${command.help}.`, specs);
    return { exitCode: EXIT_CODES.ok, output, errors: "" };
  }
  const { positionalCount, optionalPositionalCount = 0 } = command;
  if (
    positionals.length < positionalCount ||
    positionals.length > positionalCount + optionalPositionalCount
  ) {
    return usageError(`Cannot run "${name}": expected ${command.usage || "no arguments"}`);
  }
  const full = { ...defaultSettings(), ...settings } as CommandSettings;
  return finish(await runSafely(command, { settings: full, positionals }), full.json);
}

function defaultSettings(): Partial<CommandSettings> {
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

function finish(result: CommandResult | CommandError, asJson: boolean): ProgramResult {
  if (result instanceof CommandError) {
    return { exitCode: result.exitCode, output: "", errors: `${result.message}\n` };
  }
  const text = asJson ? JSON.stringify(result.data, null, 2) : result.lines.join("\n");
  return { exitCode: result.exitCode, output: `${text}\n`, errors: "" };
}

function usageError(message: string): ProgramResult {
  return { exitCode: EXIT_CODES.usage, output: "", errors: `${message}\n` };
}

function overview(args: ReadonlyArray<string>): ProgramResult {
  const lines = Object.entries(COMMANDS).map(([name, { usage, help }]) => {
    return `  ${`${name} ${usage}`.padEnd(26)} ${help}`;
  });
  const output = ["Usage: rackvale COMMAND", "", "Commands:", ...lines, ""].join("\n");
  const isHelp = args.includes("--help");
  const known = args.length === 0 || isHelp;
  return {
    exitCode: isHelp ? EXIT_CODES.ok : EXIT_CODES.usage,
    output: known ? output : "",
    errors: known ? "" : `Cannot find command "${args.slice(0, 2).join(" ")}"; see --help\n`,
  };
}
