/**
 * Picks the leaf of a service that is expected to answer first, near ones preferred.
 *
 * @module
 */
import type { Leaf } from "./leaf.js";
import { expectedFailureRate, INITIAL_LEAF_HEALTH, type LeafHealth } from "./leaf_health.js";
import { expectedSlowdown } from "./leaf_slowdown.js";

/** How far a leaf is from this box. */
export type Distance = "zone" | "region" | "remote";

/** What the choice is made from. */
export interface LeafChoiceContext {
  readonly nowMs: number;
  /** The moment by the clock that stands still while this box is busy, in milliseconds. */
  readonly eventLoopIdleMs: number;
  /** Tells what this box has seen of a leaf. */
  health(leafId: string): LeafHealth | undefined;
  /** Tells how far a leaf is. */
  distance(leaf: Leaf): Distance;
  /** Tells how long calls wait at leafs where this one is, if boxes there tell it, in milliseconds. */
  readonly reportedQueueMs?: (leaf: Leaf) => number;
  /** How the service's policy places calls; least loaded by default. */
  readonly placement?: Placement;
  /** Tells whether a leaf may be asked at all; every one by default. */
  readonly isCallable?: (leaf: Leaf) => boolean;
  /** Tells whether a leaf is cold, and so slower than usual; as its entry told by default. */
  readonly isCold?: (leafId: string) => boolean;
  /**
   * Time within which the answer is worth most, in milliseconds: what a leaf is expected to miss of it weighs more than
   * any distance. Left out where it is not known.
   */
  readonly objectiveMs?: number | undefined;
  /** Leafs that were asked already. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Added to the expected time by distance, in milliseconds. Far ones carry the price of bytes between
 * regions besides the round trip: a near replica has to be some 100 ms slower before a far one is worth
 * its bytes.
 */
const DISTANCE_COST_MS: Readonly<Record<Distance, number>> = { zone: 0, region: 4, remote: 100 };

/**
 * Share of the objective that a leaf may take before its answer is taken to come late: the other half is for merging and
 * for a second call elsewhere.
 */
const TIMELY_SHARE = 0.5;

/**
 * Weight of what a leaf that reports to be slow is expected to take beyond that. Others may only have a queue, and left for it
 * all queries met at the leafs of another region: with 22 of 40 leafs crashed, calls reached leafs there up to 0.6 s after
 * they were written, 27 and 40 of them with more time than was left. The price of bytes between regions alone kept queries at near
 * leafs that took 110 of 112 ms: of 150 searches 46 came late while each shard had two leafs as usual.
 */
const LATE_WEIGHT = 4;

/** Ways to place calls: by expected time, near ones almost always, or whatever the distance. */
export type Placement = "least-loaded" | "nearest" | "spread";

/** What the cost of distance is multiplied by. */
const DISTANCE_FACTORS: Readonly<Record<Placement, number>> = {
  "least-loaded": 1,
  nearest: 10,
  spread: 0,
};

/** Expected time of a leaf that has not been asked, in milliseconds. */
const UNKNOWN_MS: Readonly<Record<Distance, number>> = { zone: 15, region: 17, remote: 45 };

/** Calls open at a leaf, as a multiple of its slots, at which other boxes had better turn elsewhere. */
const FULL_FACTOR = 2;

/** Age at which a load that a leaf told counts for nothing, in milliseconds. */
const REPORTED_LOAD_MS = 300;

/**
 * A leaf is taken to pause when it has answered nothing for this many times its mean, and at least the
 * time below: with one call open, and with several, of which one or the other would have ended.
 */
const SILENT_MEANS = { one: 3, several: 1.7 } as const;

/** Shortest time without an answer at which a leaf is taken to pause, in milliseconds. */
const SILENT_MS = { one: 40, several: 30 } as const;

/** Added for a leaf that is taken to pause; leafs pause for 150 to 250 ms, in milliseconds. */
const SILENT_COST_MS = 200;

/** Added for a leaf that has just failed or shed, in milliseconds. */
const AVOID_COST_MS = 1_000;

/**
 * Added for a leaf that refuses or fails a share of its calls, for a share of 1, in milliseconds: the
 * time of a second call elsewhere and what that takes out of the budget of extra calls.
 */
const LOSS_COST_MS = 600;

/** Factor on the time of a leaf that is still warming up. */
const WARMUP_FACTOR = 1.6;

/** A leaf that was picked. */
export interface ChosenLeaf {
  readonly leaf: Leaf;
  readonly distance: Distance;
  /** Time in which it usually answers, in milliseconds. */
  readonly typicalLatencyMs: number;
  /** Time that a call would wait there before it is run, by the load that is known, in milliseconds. */
  readonly queueMs: number;
  /** Share of the calls there that are to be expected to come to nothing, 0 to 1. */
  readonly failureRate: number;
}

/**
 * Picks a leaf.
 *
 * @param leafs - Leafs of the service.
 * @param view - What is known of them.
 * @returns The leaf, or nothing where none can be asked.
 */
export function chooseLeaf(
  leafs: ReadonlyArray<Leaf>,
  view: LeafChoiceContext,
): ChosenLeaf | undefined {
  let best: ChosenLeaf | undefined;
  let bestMs = Infinity;
  for (const leaf of leafs) {
    const condition = view.health(leaf.leafId) ?? INITIAL_LEAF_HEALTH;
    if (leaf.draining || condition.terminated || view.excluded.has(leaf.leafId)) {
      continue;
    }
    if (view.isCallable?.(leaf) === false) {
      continue;
    }
    const distance = view.distance(leaf);
    const knownMs = condition.meanMs === 0 ? UNKNOWN_MS[distance] : condition.meanMs;
    const usualMs = knownMs * expectedSlowdown(condition.slowdown, view.nowMs);
    const toldMs = view.reportedQueueMs?.(leaf) ?? 0;
    const expectedMs =
      expectedTimeMs({ leaf, distance, typicalLatencyMs: usualMs }, condition, view) + toldMs;
    if (expectedMs < bestMs) {
      const seenMs = queueMs(leaf, condition, view.nowMs);
      const lossShare = expectedFailureRate(condition, view.nowMs);
      const queuedMs = Math.max(toldMs, seenMs);
      best = {
        leaf,
        distance,
        typicalLatencyMs: usualMs,
        queueMs: queuedMs,
        failureRate: lossShare,
      };
      bestMs = expectedMs;
    }
  }
  return best;
}

function expectedTimeMs(
  {
    leaf,
    distance,
    typicalLatencyMs: usualMs,
  }: Pick<ChosenLeaf, "leaf" | "distance" | "typicalLatencyMs">,
  condition: LeafHealth,
  {
    isCold,
    nowMs,
    objectiveMs,
    eventLoopIdleMs: waitedMs,
    placement = "least-loaded",
  }: LeafChoiceContext,
): number {
  const isLeafCold = isCold?.(leaf.leafId) ?? leaf.warmingForMs > 0;
  const warmMs = isLeafCold ? usualMs * WARMUP_FACTOR : usualMs;
  const load = loadOf(condition, nowMs);
  const queuedMs = warmMs * Math.max(1, (load + 1) / leaf.slots);
  const silentMs = isUnresponsive(condition, waitedMs) ? SILENT_COST_MS : 0;
  const avoidMs = condition.avoidUntilMs > nowMs ? AVOID_COST_MS : 0;
  const lossMs = expectedFailureRate(condition, nowMs) * LOSS_COST_MS;
  const distanceMs = DISTANCE_COST_MS[distance] * DISTANCE_FACTORS[placement];
  const isSlow = expectedSlowdown(condition.slowdown, nowMs) > 1;
  const timelyMs = (objectiveMs ?? Number.POSITIVE_INFINITY) * TIMELY_SHARE;
  const lateMs = isSlow ? Math.max(0, queuedMs - timelyMs) * LATE_WEIGHT : 0;
  return queuedMs + lateMs + distanceMs + silentMs + avoidMs + lossMs;
}

/** Calls at a leaf: those of this box, or what it told, which counts for less the older it is. */
function loadOf({ openCalls, reportedAtMs, reportedLoad }: LeafHealth, nowMs: number): number {
  const toldShare = Math.max(0, 1 - (nowMs - reportedAtMs) / REPORTED_LOAD_MS);
  return Math.max(openCalls.length, reportedLoad * toldShare);
}

/**
 * Works out how long a call would wait at a leaf before it is run.
 *
 * @param leaf - Its slots.
 * @param condition - What was seen of it.
 * @param nowMs - The present moment.
 * @returns The time in milliseconds.
 */
export function queueMs(
  { slots }: Pick<Leaf, "slots">,
  condition: LeafHealth,
  nowMs: number,
): number {
  const ahead = Math.max(0, loadOf(condition, nowMs) + 1 - slots);
  return (ahead / slots) * condition.workMs * expectedSlowdown(condition.slowdown, nowMs);
}

/**
 * Tells whether this box has so many calls open at a leaf that it had better not take others' calls to it.
 *
 * @param condition - What was seen of the leaf.
 * @param leaf - Its slots.
 * @returns Whether it is full.
 */
export function isFull({ openCalls }: LeafHealth, { slots }: Pick<Leaf, "slots">): boolean {
  return openCalls.length >= slots * FULL_FACTOR;
}

/**
 * Tells whether a leaf, or a box that is asked like one, is taken to pause.
 *
 * @param condition - What was seen of it.
 * @param waitedMs - The present moment by the clock that stands still while this box is busy.
 * @returns Whether it has calls open and has answered none for much longer than usual.
 */
export function isUnresponsive(condition: LeafHealth, waitedMs: number): boolean {
  const { lastAnswerAtIdleMs: heardAtWaitedMs, meanMs, openCalls } = condition;
  const [oldest] = openCalls;
  if (oldest === undefined) {
    return false;
  }
  const calls = openCalls.length > 1 ? "several" : "one";
  const silentAfterMs = Math.max(SILENT_MS[calls], SILENT_MEANS[calls] * meanMs);
  return waitedMs - Math.max(oldest.sentAtIdleMs, heardAtWaitedMs) > silentAfterMs;
}
