/**
 * Kinds of settings and how each is read.
 *
 * @module
 */
import { isIP } from "node:net";
import { err, ok, type Result } from "neverthrow";

/** One setting of a program. */
export interface SettingSpec {
  readonly kind: "text" | "number" | "address" | "port" | "flag" | "choice" | "url";
  /** What it is for, with its unit. */
  readonly help: string;
  /** Value as text when none is given; without one the setting must be given. */
  readonly fallback?: string;
  readonly min?: number;
  readonly max?: number;
  readonly choices?: ReadonlyArray<string>;
}

/** A program's settings by flag name. */
export type SettingSpecs = Readonly<Record<string, SettingSpec>>;

/** What a setting of some kind holds. */
export interface SettingValues {
  readonly text: string;
  readonly number: number;
  readonly address: string;
  readonly port: number;
  readonly flag: boolean;
  readonly choice: string;
  readonly url: string;
}

type Reader = (text: string, spec: SettingSpec) => Result<string | number | boolean, string>;

/** How each kind of setting is read from text. */
export const SETTING_PARSERS: Readonly<Record<SettingSpec["kind"], Reader>> = {
  text: (text) => ok(text),
  number: (text, { min: least = 0, max: most = Number.MAX_SAFE_INTEGER }) =>
    readNumber(text, least, most),
  address: (text) => (text === "" || isIP(text) > 0 ? ok(text) : err("expected an IP address")),
  port: (text) => readNumber(text, 0, 65_535),
  flag: (text) =>
    text === "true" || text === "false" ? ok(text === "true") : err("expected true or false"),
  choice: (text, { choices = [] }) =>
    choices.includes(text) ? ok(text) : err(`expected one of ${choices.join(", ")}`),
  url: (text) =>
    text === "" || /^https?:\/\/[^/]+$/.test(text) ? ok(text) : err("expected http://address:port"),
};

function readNumber(text: string, least: number, most: number): Result<number, string> {
  const value = Number(text);
  return text.trim() !== "" && Number.isFinite(value) && value >= least && value <= most
    ? ok(value)
    : err(`expected a number from ${least} to ${most}`);
}
