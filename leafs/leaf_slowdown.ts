/**
 * How long work takes at a leaf at this moment, by what the leaf itself reports.
 *
 * The load pattern: leafs share their machines with others. A few work four times as long for some 250 ms, many times a
 * minute; a sixth of all may work ten times as long for many seconds. By its own means a box has to wait for several
 * slow answers of each leaf before it turns to another; by the report it knows from the first one.
 *
 * @module
 */

/** What a leaf has reported of its pace. */
export interface LeafSlowdown {
  /** Times as long as usual that work takes there; 1 as usual. */
  readonly factor: number;
  /** When it reported that. */
  readonly reportedAtMs: number;
  /** Since when its reports have been like this one. */
  readonly sinceMs: number;
}

/** A leaf that has reported nothing. */
export const NO_SLOWDOWN: LeafSlowdown = { factor: 1, reportedAtMs: 0, sinceMs: 0 };

/** Two reports are alike where they differ by no more than this factor. */
const ALIKE_FACTOR = 1.5;

/**
 * Shortest time for which a report is believed, in milliseconds: half of the time for which the short slow spells
 * last, as a report comes at a random moment of one.
 */
const LEAST_BELIEVED_MS = 250;

/** Longest time for which a report is believed, in milliseconds, so that a leaf that is well again is tried. */
const MOST_BELIEVED_MS = 2_000;

/** Greatest and least factor that is believed: a leaf that reports nonsense must not be lost or preferred for it. */
const BELIEVED_FACTORS = { least: 0.2, most: 100 } as const;

/**
 * Takes in a report.
 *
 * @param pace - What was reported before.
 * @param report - Times as long as usual that work takes now, and the moment.
 * @returns The pace after that.
 */
export function recordSlowdown(
  pace: LeafSlowdown,
  { factor, nowMs }: { readonly factor: number; readonly nowMs: number },
): LeafSlowdown {
  const believed = Math.min(BELIEVED_FACTORS.most, Math.max(BELIEVED_FACTORS.least, factor));
  const ratio = believed / pace.factor;
  const isAlike = ratio <= ALIKE_FACTOR && ratio >= 1 / ALIKE_FACTOR;
  return { factor: believed, reportedAtMs: nowMs, sinceMs: isAlike ? pace.sinceMs : nowMs };
}

/**
 * Tells how many times as long as usual work is expected to take at a leaf. What has lasted for a while is expected to
 * last as long again; after that the leaf counts as usual, so that it is tried.
 *
 * @param pace - What the leaf reported.
 * @param nowMs - The present moment.
 * @returns The factor; 1 as usual.
 */
export function expectedSlowdown(
  { factor, reportedAtMs, sinceMs }: LeafSlowdown,
  nowMs: number,
): number {
  const lastedMs = reportedAtMs - sinceMs;
  const believedMs = Math.min(MOST_BELIEVED_MS, Math.max(LEAST_BELIEVED_MS, lastedMs));
  return nowMs - reportedAtMs < believedMs ? factor : 1;
}
