/**
 * Plans the faults of one run from its seed: start, target and duration of each. Faults may overlap, and
 * kinds may repeat.
 *
 * @module
 */
import prand from "pure-rand";

/** Kinds that the plans of recorded seeds draw from. Fixed, as a further kind would change these plans. */
export const STABLE_KINDS = [
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
  ...STABLE_KINDS,
  "leafRestarted",
  "strangeEntries",
  "crashingQuery",
  "storeOlder",
  "dataCentreEmptied",
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A planned fault. */
export interface PlannedFault<Kind extends string = FaultKind> {
  readonly kind: Kind;
  /** Start, in milliseconds from the start of the run. */
  readonly atMs: number;
  /** Duration, in milliseconds. */
  readonly forMs: number;
  /** Selects the target: an index modulo the number of candidates. */
  readonly target: number;
}

/** Seed and length of a plan. */
export interface PlanOptions {
  readonly seed: number;
  /** Time in which faults start, in milliseconds. */
  readonly durationMs: number;
}

/** Options of {@linkcode faultPlan}. */
export interface FaultPlanOptions extends PlanOptions {
  /** Kinds to draw from; all by default. */
  readonly kinds?: ReadonlyArray<FaultKind>;
}

/** Mean time between the starts of two faults, in milliseconds. */
const MEAN_GAP_MS = 450;

/** Minimum and maximum duration of a fault, in milliseconds. */
const FAULT_DURATION_MS = { min: 200, max: 3_500 } as const;

/**
 * Creates the plan of a run.
 *
 * @param options - Seed, duration and kinds of faults.
 * @returns The faults, the earliest first; always the same for the same options.
 */
export function faultPlan({
  kinds = FAULT_KINDS,
  ...options
}: FaultPlanOptions): ReadonlyArray<PlannedFault> {
  return planFaults(options, kinds);
}

/**
 * Creates a plan of faults of any kinds.
 *
 * @param options - Seed and duration.
 * @param kinds - Kinds to draw from; one that is listed twice is drawn twice as often.
 * @returns The faults, the earliest first; always the same for the same arguments.
 */
export function planFaults<Kind extends string>(
  { seed, durationMs }: PlanOptions,
  kinds: ReadonlyArray<Kind>,
): ReadonlyArray<PlannedFault<Kind>> {
  const random = prand.xoroshiro128plus(seed);
  const int = (min: number, max: number): number => {
    return prand.unsafeUniformIntDistribution(min, max, random);
  };
  const faults: Array<PlannedFault<Kind>> = [];
  for (let atMs = int(0, MEAN_GAP_MS); atMs < durationMs; atMs += int(1, 2 * MEAN_GAP_MS)) {
    const kind = kinds[int(0, kinds.length - 1)] as Kind;
    const forMs = int(FAULT_DURATION_MS.min, FAULT_DURATION_MS.max);
    faults.push({ kind, atMs, forMs, target: int(0, 1_000_000) });
  }
  return faults;
}
