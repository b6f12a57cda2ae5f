/**
 * Slowdown of a leaf as reported by the leaf itself.
 *
 * Leafs share their machines with other processes and may slow down for a fraction of a second or
 * for many seconds. The reports let a box react to the first slow answer, before its own latency
 * statistics show the slowdown.
 *
 * @module
 */

/** The last reported slowdown of a leaf. */
export interface LeafSlowdown {
  /** Factor on the normal processing time; 1 is normal speed. */
  readonly factor: number;
  /** Time of the last report, in milliseconds. */
  readonly reportedAtMs: number;
  /** Time since which all reports have been similar, in milliseconds. */
  readonly sinceMs: number;
}

/** Slowdown of a leaf that has reported nothing. */
export const NO_SLOWDOWN: LeafSlowdown = { factor: 1, reportedAtMs: 0, sinceMs: 0 };

/** Two reports are similar if they differ by no more than this factor. */
const SIMILAR_FACTOR = 1.5;

/**
 * Minimum time for which a report is valid, in milliseconds. Many slowdowns last for a fraction of a
 * second, and a report comes at a random moment of one.
 */
const MIN_REPORT_TTL_MS = 250;

/**
 * Maximum time for which a report is valid, in milliseconds, so that a recovered leaf is tried
 * again.
 */
const MAX_REPORT_TTL_MS = 2_000;

/**
 * Range that reported factors are clamped to, so that an invalid report neither excludes nor
 * favours a leaf.
 */
const FACTOR_RANGE = { min: 0.2, max: 100 } as const;

/**
 * Records a slowdown report.
 *
 * @param slowdown - Slowdown before the report.
 * @param report - Reported factor and the current time, in milliseconds.
 * @returns The updated slowdown.
 */
export function recordSlowdown(
  slowdown: LeafSlowdown,
  { factor, nowMs }: { readonly factor: number; readonly nowMs: number },
): LeafSlowdown {
  const clamped = Math.min(FACTOR_RANGE.max, Math.max(FACTOR_RANGE.min, factor));
  const ratio = clamped / slowdown.factor;
  const isSimilar = ratio <= SIMILAR_FACTOR && ratio >= 1 / SIMILAR_FACTOR;
  return { factor: clamped, reportedAtMs: nowMs, sinceMs: isSimilar ? slowdown.sinceMs : nowMs };
}

/**
 * Estimates the current slowdown of a leaf. A slowdown is expected to continue for as long as it
 * has lasted so far; after that, normal speed is assumed so that the leaf is tried again.
 *
 * @param slowdown - Last reported slowdown.
 * @param nowMs - Current time, in milliseconds.
 * @returns The factor; 1 is normal speed.
 */
export function expectedSlowdown(
  { factor, reportedAtMs, sinceMs }: LeafSlowdown,
  nowMs: number,
): number {
  const lastedMs = reportedAtMs - sinceMs;
  const ttlMs = Math.min(MAX_REPORT_TTL_MS, Math.max(MIN_REPORT_TTL_MS, lastedMs));
  return nowMs - reportedAtMs < ttlMs ? factor : 1;
}
