/**
 * Reads a program's settings and names all faults at once.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { SETTING_PARSERS, type SettingSpecs, type SettingValues } from "./setting_spec.js";

/** A program's settings as read. */
export type Settings<Specs extends SettingSpecs> = {
  readonly [Name in keyof Specs]: SettingValues[Specs[Name]["kind"]];
};

/** Where settings come from. */
export interface SettingSource {
  readonly args: ReadonlyArray<string>;
  readonly env: Readonly<Record<string, string | undefined>>;
}

/** Settings with the words that are not flags. */
export interface ParsedSettings<Specs extends SettingSpecs> {
  readonly settings: Settings<Specs>;
  readonly positionals: ReadonlyArray<string>;
  /** Whether help was asked for; the settings are not to be used then. */
  readonly help: boolean;
}

/**
 * Reads settings: a flag goes before its environment variable, that before the fallback.
 *
 * @param specs - The program's settings.
 * @param source - Arguments and environment.
 * @returns The settings, or a sentence for each fault.
 */
export function parseSettings<Specs extends SettingSpecs>(
  specs: Specs,
  { args, env }: SettingSource,
): Result<ParsedSettings<Specs>, ReadonlyArray<string>> {
  const faults: Array<string> = [];
  const { values, positionals } = readArgs(specs, args, faults);
  const help = values.help === true;
  const settings: Record<string, string | number | boolean> = {};
  for (const [name, spec] of Object.entries(specs)) {
    const given = values[name] ?? env[envVariableName(name)] ?? spec.fallback;
    if (given === undefined) {
      faults.push(`Cannot start: --${name} (or ${envVariableName(name)}) is missing`);
      continue;
    }
    const read = SETTING_PARSERS[spec.kind](String(given), spec);
    if (read.isErr()) {
      faults.push(`Cannot accept --${name} "${given}": ${read.error}`);
    } else {
      settings[name] = read.value;
    }
  }
  if (faults.length > 0 && !help) {
    return err(faults);
  }
  return ok({ settings: settings as Settings<Specs>, positionals: positionals, help });
}

interface ReadArgs {
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: ReadonlyArray<string>;
}

function readArgs(
  specs: SettingSpecs,
  args: ReadonlyArray<string>,
  faults: Array<string>,
): ReadArgs {
  const options = Object.fromEntries([
    ["help", { type: "boolean" as const }],
    ...Object.entries(specs).map(([name, { kind }]) => {
      return [
        name,
        { type: kind === "flag" ? ("boolean" as const) : ("string" as const) },
      ] as const;
    }),
  ]);
  const parsed = parseArgs({
    args: [...args],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  for (const token of parsed.tokens) {
    if (token.kind === "option" && options[token.name] === undefined) {
      faults.push(`Cannot accept ${token.rawName}: unknown flag`);
    } else if (
      token.kind === "option" &&
      needsValue(options, token.name) &&
      token.value === undefined
    ) {
      faults.push(`Cannot accept ${token.rawName}: it needs a value`);
    }
  }
  const values = Object.fromEntries(
    Object.entries(parsed.values).filter(([name, value]) => {
      return !(needsValue(options, name) && typeof value === "boolean");
    }),
  );
  return { values: values as ReadArgs["values"], positionals: parsed.positionals };
}

function needsValue(
  options: Readonly<Record<string, { readonly type: string }>>,
  name: string,
): boolean {
  return options[name]?.type === "string";
}

/**
 * Names the environment variable of a flag.
 *
 * @param name - Name of the flag.
 * @returns The variable's name.
 */
export function envVariableName(name: string): string {
  return `RACKVALE_${name.toUpperCase().replaceAll("-", "_")}`;
}

/**
 * Writes a program's help.
 *
 * @param usage - First line: how it is called.
 * @param specs - Its settings.
 * @returns The help with each flag, its variable, its default and what it is for.
 */
export function helpText(usage: string, specs: SettingSpecs): string {
  const lines = Object.entries(specs).map(([name, { kind, help, fallback }]) => {
    const value = kind === "flag" ? "" : ` ${kind.toUpperCase()}`;
    const rest = fallback === undefined ? "must be given" : `default "${fallback}"`;
    return `  --${name}${value}\n      ${help} (${envVariableName(name)}; ${rest})`;
  });
  return [usage, "", "Settings:", ...lines, "  --help", "      Prints this.", ""].join("\n");
}

/**
 * Reads a program's settings, or ends it: exit 0 after help, exit 2 with a line for each fault.
 *
 * @param usage - First line of the help.
 * @param specs - The program's settings.
 * @returns The settings and the words that are not flags.
 */
export function parseSettingsOrExit<Specs extends SettingSpecs>(
  usage: string,
  specs: Specs,
): ParsedSettings<Specs> {
  const parsed = parseSettings(specs, { args: process.argv.slice(2), env: process.env });
  if (parsed.isErr()) {
    process.stderr.write(`${parsed.error.join("\n")}\n`);
    process.exit(2);
  }
  if (parsed.value.help) {
    process.stdout.write(helpText(usage, specs));
    process.exit(0);
  }
  return parsed.value;
}
