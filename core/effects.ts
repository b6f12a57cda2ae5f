/**
 * Effects that any core may emit.
 *
 * @module
 */

/** Sets or replaces a timer; when it fires, the core receives an event with the same key. */
export interface SetTimerEffect<Timer> {
  readonly kind: "setTimer";
  readonly timer: Timer;
  readonly delayMs: number;
}

/** Cancels a timer. */
export interface ClearTimerEffect<Timer> {
  readonly kind: "clearTimer";
  readonly timer: Timer;
}

/** Writes a log line. */
export interface LogEffect {
  readonly kind: "log";
  readonly level: "info" | "warn" | "error";
  /** Component that logs; the prefix of the line. */
  readonly component: string;
  /** Short message text. */
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Increments a counter metric. */
export interface CountEffect {
  readonly kind: "count";
  readonly metric: string;
  readonly by: number;
  readonly tags: Readonly<Record<string, string>>;
}

/** Records a duration. */
export interface TimingEffect {
  readonly kind: "timing";
  readonly metric: string;
  readonly valueMs: number;
  readonly tags: Readonly<Record<string, string>>;
}

/** Effects that only report and do not act. */
export type TelemetryEffect = LogEffect | CountEffect | TimingEffect;

/**
 * Creates a log effect at level "info".
 *
 * @param component - Component that logs.
 * @param message - Short message text.
 * @param fields - Structured fields of the line.
 * @returns The effect.
 */
export function logInfo(
  component: string,
  message: string,
  fields: LogEffect["fields"] = {},
): LogEffect {
  return { kind: "log", level: "info", component, message, fields };
}

/**
 * Creates a log effect at level "warn".
 *
 * @param component - Component that logs.
 * @param message - Short message text.
 * @param fields - Structured fields of the line.
 * @returns The effect.
 */
export function logWarn(
  component: string,
  message: string,
  fields: LogEffect["fields"] = {},
): LogEffect {
  return { kind: "log", level: "warn", component, message, fields };
}

/**
 * Creates an effect that increments a counter by one.
 *
 * @param metric - Name of the metric.
 * @param tags - Tags of the metric.
 * @returns The effect.
 */
export function countOne(metric: string, tags: CountEffect["tags"] = {}): CountEffect {
  return { kind: "count", metric, by: 1, tags };
}

/**
 * Creates effects that log and count a violated invariant. The calling code should fail only the
 * current request.
 *
 * @param name - Name of the invariant.
 * @param fields - Values that violate it.
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
