/**
 * Plans the faults of one run from its seed: when each begins, what it hits and how long it lasts.
 * Several hold at once, and the same kind comes again.
 *
 * @module
 */
import prand from "pure-rand";

/** Kinds that the plans of recorded seeds were drawn from; a further one here would change these plans. */
export const RECORDED_KINDS = [
  "leafDelayed",
  "leafReset",
  "leafCutOneWay",
  "leafSilent",
  "leafConnectionsSilent",
  "leafFull",
  "leafFails",
  "leafReplaced",
  "storeSilent",
  "storeDown",
  "storeSlow",
  "storeForgets",
  "boxCutFromStore",
  "storeConnectionsSilent",
  "boxPaused",
  "boxKilled",
  "boxStopped",
  "configurationChanged",
  "allStoreConnectionsSilent",
] as const;

/** All kinds of faults. */
export const FAULT_KINDS = [
  ...RECORDED_KINDS,
  "leafRestarted",
  "strangeEntries",
  "crashingQuery",
  "storeOlder",
  "dataCentreEmptied",
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Picks what is hit: taken modulo the number of candidates. */
  readonly target: number;
}

/** How a plan is made. */
export interface FaultPlanOptions {
  readonly seed: number;
  /** Time in which faults begin, in milliseconds. */
  readonly lengthMs: number;
  /** Kinds to draw from; all by default. */
  readonly kinds?: ReadonlyArray<FaultKind>;
}

/** Mean time between two faults, in milliseconds. */
const MEAN_GAP_MS = 450;

/** Shortest and longest time that a fault lasts, in milliseconds. */
const LASTS_MS = { least: 200, most: 3_500 } as const;

/**
 * Makes the plan of a run.
 *
 * @param options - Its seed and length.
 * @returns The faults, the earliest first; the same for the same options.
 */
export function faultPlan({
  seed,
  lengthMs,
  kinds = FAULT_KINDS,
}: FaultPlanOptions): ReadonlyArray<PlannedFault> {
  const random = prand.xoroshiro128plus(seed);
  const int = (least: number, most: number): number => {
    return prand.unsafeUniformIntDistribution(least, most, random);
  };
  const faults: Array<PlannedFault> = [];
  for (let atMs = int(0, MEAN_GAP_MS); atMs < lengthMs; atMs += int(1, 2 * MEAN_GAP_MS)) {
    const kind = kinds[int(0, kinds.length - 1)] ?? "boxKilled";
    const forMs = int(LASTS_MS.least, LASTS_MS.most);
    faults.push({ kind, atMs, forMs, target: int(0, 1_000_000) });
  }
  return faults;
}
