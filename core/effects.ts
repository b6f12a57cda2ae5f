/**
 * Effects that every core may ask for.
 *
 * @module
 */

/** Sets or replaces a timer; its firing comes back as an event with the same key. */
export interface SetTimerEffect<Timer> {
  readonly kind: "setTimer";
  readonly timer: Timer;
  readonly delayMs: number;
}

/** Takes back a timer. */
export interface ClearTimerEffect<Timer> {
  readonly kind: "clearTimer";
  readonly timer: Timer;
}

/** Writes a log line. */
export interface LogEffect {
  readonly kind: "log";
  readonly level: "info" | "warn" | "error";
  /** Part that speaks; the line's prefix. */
  readonly component: string;
  /** One short sentence. */
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Counts something that happened. */
export interface CountEffect {
  readonly kind: "count";
  readonly metric: string;
  readonly by: number;
  readonly tags: Readonly<Record<string, string>>;
}

/** Reports a duration. */
export interface TimingEffect {
  readonly kind: "timing";
  readonly metric: string;
  readonly valueMs: number;
  readonly tags: Readonly<Record<string, string>>;
}

/** Effects that only tell about the decisions. */
export type TelemetryEffect = LogEffect | CountEffect | TimingEffect;

/**
 * Makes a log line.
 *
 * @param part - Part that speaks.
 * @param message - One short sentence.
 * @param fields - Values beside it.
 * @returns The effect.
 */
export function logInfo(
  part: string,
  message: string,
  fields: LogEffect["fields"] = {},
): LogEffect {
  return { kind: "log", level: "info", component: part, message, fields };
}

/**
 * Makes a log line that asks for attention.
 *
 * @param part - Part that speaks.
 * @param message - One short sentence.
 * @param fields - Values beside it.
 * @returns The effect.
 */
export function logWarn(
  part: string,
  message: string,
  fields: LogEffect["fields"] = {},
): LogEffect {
  return { kind: "log", level: "warn", component: part, message, fields };
}

/**
 * Makes a count of one.
 *
 * @param metric - Name of the metric.
 * @param tags - What it is split by.
 * @returns The effect.
 */
export function countOne(metric: string, tags: CountEffect["tags"] = {}): CountEffect {
  return { kind: "count", metric, by: 1, tags };
}

/**
 * Reports that an invariant does not hold: it is logged and counted, and the caller fails only the
 * request at hand.
 *
 * @param name - Which invariant.
 * @param fields - What was found.
 * @returns The effects.
 */
export function invariantBroken(
  name: string,
  fields: LogEffect["fields"],
): ReadonlyArray<TelemetryEffect> {
  return [
    { kind: "log", level: "error", component: "invariant", message: `broke ${name}`, fields },
    countOne("invariant.broken", { name }),
  ];
}
