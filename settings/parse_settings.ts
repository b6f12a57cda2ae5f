/**
 * Parses a program's settings and reports all errors together.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { SETTING_PARSERS, type SettingSpecs, type SettingValues } from "./setting_spec.js";

/** Values of a program's settings. */
export type Settings<Specs extends SettingSpecs> = {
  readonly [Name in keyof Specs]: SettingValues[Specs[Name]["kind"]];
};

/** Sources of settings. */
export interface SettingSource {
  readonly args: ReadonlyArray<string>;
  readonly env: Readonly<Record<string, string | undefined>>;
}

/** Settings and positional arguments. */
export interface ParsedSettings<Specs extends SettingSpecs> {
  readonly settings: Settings<Specs>;
  readonly positionals: ReadonlyArray<string>;
  /** Whether `--help` was given; the settings may be incomplete in that case. */
  readonly help: boolean;
}

/**
 * Parses settings. A flag takes precedence over its environment variable, which takes precedence
 * over the fallback.
 *
 * @param specs - Specifications of the settings.
 * @param source - Arguments and environment.
 * @returns The settings, or a message for each error.
 */
export function parseSettings<Specs extends SettingSpecs>(
  specs: Specs,
  { args, env }: SettingSource,
): Result<ParsedSettings<Specs>, ReadonlyArray<string>> {
  const errors: Array<string> = [];
  const { values, positionals } = parseFlags(specs, args, errors);
  const help = values.help === true;
  const settings: Record<string, string | number | boolean> = {};
  for (const [name, spec] of Object.entries(specs)) {
    const value = values[name] ?? env[envVariableName(name)] ?? spec.fallback;
    if (value === undefined) {
      errors.push(`Cannot start: --${name} (or ${envVariableName(name)}) is missing`);
      continue;
    }
    const parsed = SETTING_PARSERS[spec.kind](String(value), spec);
    if (parsed.isErr()) {
      errors.push(`Cannot accept --${name} "${value}": ${parsed.error}`);
    } else {
      settings[name] = parsed.value;
    }
  }
  if (errors.length > 0 && !help) {
    return err(errors);
  }
  return ok({ settings: settings as Settings<Specs>, positionals, help });
}

interface ParsedArgs {
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: ReadonlyArray<string>;
}

function parseFlags(
  specs: SettingSpecs,
  args: ReadonlyArray<string>,
  errors: Array<string>,
): ParsedArgs {
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
      errors.push(`Cannot accept ${token.rawName}: unknown flag`);
    } else if (
      token.kind === "option" &&
      needsValue(options, token.name) &&
      token.value === undefined
    ) {
      errors.push(`Cannot accept ${token.rawName}: it needs a value`);
    }
  }
  const values = Object.fromEntries(
    Object.entries(parsed.values).filter(([name, value]) => {
      return !(needsValue(options, name) && typeof value === "boolean");
    }),
  );
  return { values: values as ParsedArgs["values"], positionals: parsed.positionals };
}

function needsValue(
  options: Readonly<Record<string, { readonly type: string }>>,
  name: string,
): boolean {
  return options[name]?.type === "string";
}

/**
 * Returns the name of a flag's environment variable.
 *
 * @param name - Name of the flag.
 * @returns The variable's name.
 */
export function envVariableName(name: string): string {
  return `RACKVALE_${name.toUpperCase().replaceAll("-", "_")}`;
}

/**
 * Formats a program's help text.
 *
 * @param usage - First line: the usage.
 * @param specs - Specifications of the settings.
 * @returns The help text with the purpose, variable and default of each flag.
 */
export function helpText(usage: string, specs: SettingSpecs): string {
  const lines = Object.entries(specs).map(([name, { kind, help, fallback }]) => {
    const value = kind === "flag" ? "" : ` ${kind.toUpperCase()}`;
    const requirement = fallback === undefined ? "required" : `default "${fallback}"`;
    return `  --${name}${value}\n      ${help} (${envVariableName(name)}; ${requirement})`;
  });
  return [usage, "", "Settings:", ...lines, "  --help", "      Prints this help.", ""].join("\n");
}

/**
 * Parses the settings of this process. Exits with code 0 after printing help, and with code 2 after
 * printing a line for each error.
 *
 * @param usage - First line of the help.
 * @param specs - Specifications of the settings.
 * @returns The settings and positional arguments.
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
