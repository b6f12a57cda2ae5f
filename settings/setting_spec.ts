/**
 * Kinds of settings and the parser of each.
 *
 * @module
 */
import { isIP } from "node:net";
import { err, ok, type Result } from "neverthrow";

/** Specification of one setting. */
export interface SettingSpec {
  readonly kind: "text" | "number" | "address" | "port" | "flag" | "choice" | "url";
  /** Purpose and unit. */
  readonly help: string;
  /** Default value as text; a setting without one is required. */
  readonly fallback?: string;
  readonly min?: number;
  readonly max?: number;
  readonly choices?: ReadonlyArray<string>;
}

/** Specifications of a program's settings, by flag name. */
export type SettingSpecs = Readonly<Record<string, SettingSpec>>;

/** Types of the values, by kind of setting. */
export interface SettingValues {
  readonly text: string;
  readonly number: number;
  readonly address: string;
  readonly port: number;
  readonly flag: boolean;
  readonly choice: string;
  readonly url: string;
}

type Parser = (text: string, spec: SettingSpec) => Result<string | number | boolean, string>;

/** Parsers by kind of setting. */
export const SETTING_PARSERS: Readonly<Record<SettingSpec["kind"], Parser>> = {
  text: (text) => ok(text),
  number: (text, { min = 0, max = Number.MAX_SAFE_INTEGER }) => parseNumber(text, min, max),
  address: (text) => (text === "" || isIP(text) > 0 ? ok(text) : err("expected an IP address")),
  port: (text) => parseNumber(text, 0, 65_535),
  flag: (text) =>
    text === "true" || text === "false" ? ok(text === "true") : err("expected true or false"),
  choice: (text, { choices = [] }) =>
    choices.includes(text) ? ok(text) : err(`expected one of ${choices.join(", ")}`),
  url: (text) =>
    text === "" || /^https?:\/\/[^/]+$/.test(text) ? ok(text) : err("expected http://address:port"),
};

function parseNumber(text: string, min: number, max: number): Result<number, string> {
  const value = Number(text);
  return text.trim() !== "" && Number.isFinite(value) && value >= min && value <= max
    ? ok(value)
    : err(`expected a number from ${min} to ${max}`);
}
