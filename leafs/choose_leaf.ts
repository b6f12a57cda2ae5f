/**
 * Selects the leaf of a service with the lowest expected latency, preferring local leafs.
 *
 * @module
 */
import type { Leaf } from "./leaf.js";
import { expectedFailureRate, INITIAL_LEAF_HEALTH, type LeafHealth } from "./leaf_health.js";
import { expectedSlowdown } from "./leaf_slowdown.js";

/** Location of a leaf relative to this box: same zone, same region, or another region. */
export type Distance = "zone" | "region" | "remote";

/** Inputs for the selection of a leaf. */
export interface LeafChoiceContext {
  readonly nowMs: number;
  /** Current event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: number;
  /** Returns the observed health of a leaf. */
  health(leafId: string): LeafHealth | undefined;
  /** Returns the location of a leaf relative to this box. */
  distance(leaf: Leaf): Distance;
  /**
   * Returns the queueing delay at leafs of this leaf's location, as reported by boxes there, in
   * milliseconds.
   */
  readonly reportedQueueMs?: (leaf: Leaf) => number;
  /** Placement strategy of the service's policy; `least-loaded` by default. */
  readonly placement?: Placement;
  /** Returns whether a leaf may be called; all may by default. */
  readonly isCallable?: (leaf: Leaf) => boolean;
  /** Returns whether a leaf is still warming up; decided by its registry entry by default. */
  readonly isCold?: (leafId: string) => boolean;
  /** Latency objective of the query, in milliseconds, if known. */
  readonly objectiveMs?: number | undefined;
  /** Ids of leafs that must not be selected, such as those already called. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Cost added to the expected latency by distance, in milliseconds. Includes the price of traffic
 * between regions, so that a remote leaf is selected only if it is much faster.
 */
const DISTANCE_COST_MS: Readonly<Record<Distance, number>> = { zone: 0, region: 4, remote: 100 };

/**
 * Fraction of the latency objective available to the first call; the remainder is for merging and a
 * retry.
 */
const FIRST_CALL_OBJECTIVE_SHARE = 0.5;

/**
 * Cost factor for the time by which a leaf that reports a slowdown is expected to exceed its share
 * of the latency objective; the cost of distance alone would keep queries at near leafs that take
 * the entire objective. Does not apply to leafs that merely have a queue, as all queries would then
 * move to another region at the same time, where calls would wait beyond their deadlines.
 */
const LATE_COST_FACTOR = 4;

/** Placement strategies: by expected latency, mostly local, or regardless of distance. */
export type Placement = "least-loaded" | "nearest" | "spread";

/** Factor on the cost of distance. */
const DISTANCE_FACTORS: Readonly<Record<Placement, number>> = {
  "least-loaded": 1,
  nearest: 10,
  spread: 0,
};

/** Assumed latency of a leaf that has not been called yet, in milliseconds. */
const ASSUMED_LATENCY_MS: Readonly<Record<Distance, number>> = { zone: 15, region: 17, remote: 45 };

/** Number of open calls, as a multiple of a leaf's slots, at which relayed calls are declined. */
const FULL_FACTOR = 2;

/** Age at which a reported load is ignored, in milliseconds. */
const REPORTED_LOAD_TTL_MS = 300;

/**
 * A leaf is considered unresponsive after this many times its mean latency without an answer, but
 * not before the minimum below. The limits are lower with several open calls, as one of them would
 * normally have finished.
 */
const UNRESPONSIVE_LATENCY_FACTORS = { one: 3, several: 1.7 } as const;

/**
 * Minimum time without an answer after which a leaf is considered unresponsive, in milliseconds.
 */
const MIN_UNRESPONSIVE_MS = { one: 40, several: 30 } as const;

/** Cost of an unresponsive leaf, in milliseconds. */
const UNRESPONSIVE_COST_MS = 200;

/** Cost of a leaf that has recently failed or rejected a call, in milliseconds. */
const AVOID_COST_MS = 1_000;

/**
 * Cost of a failure rate of 1, in milliseconds: the time of a retry and its use of the retry
 * budget.
 */
const FAILURE_COST_MS = 600;

/** Factor on the latency of a leaf that is still warming up. */
const WARMUP_FACTOR = 1.6;

/** The selected leaf. */
export interface ChosenLeaf {
  readonly leaf: Leaf;
  readonly distance: Distance;
  /** Latency at the leaf's reported speed, without queueing, in milliseconds. */
  readonly typicalLatencyMs: number;
  /** Estimated queueing delay at the leaf, in milliseconds. */
  readonly queueMs: number;
  /** Expected failure rate of calls to the leaf, 0 to 1. */
  readonly failureRate: number;
}

/**
 * Selects the leaf with the lowest expected cost.
 *
 * @param leafs - Leafs of the service.
 * @param context - Inputs for the selection.
 * @returns The leaf, or `undefined` if none can be called.
 */
export function chooseLeaf(
  leafs: ReadonlyArray<Leaf>,
  context: LeafChoiceContext,
): ChosenLeaf | undefined {
  let best: ChosenLeaf | undefined;
  let minCostMs = Infinity;
  for (const leaf of leafs) {
    const health = context.health(leaf.leafId) ?? INITIAL_LEAF_HEALTH;
    if (leaf.draining || health.terminated || context.excluded.has(leaf.leafId)) {
      continue;
    }
    if (context.isCallable?.(leaf) === false) {
      continue;
    }
    const distance = context.distance(leaf);
    const meanLatencyMs = health.meanMs === 0 ? ASSUMED_LATENCY_MS[distance] : health.meanMs;
    const typicalLatencyMs = meanLatencyMs * expectedSlowdown(health.slowdown, context.nowMs);
    const reportedQueueMs = context.reportedQueueMs?.(leaf) ?? 0;
    const costMs =
      expectedCostMs({ leaf, distance, typicalLatencyMs }, health, context) + reportedQueueMs;
    if (costMs < minCostMs) {
      const ownQueueMs = queueMs(leaf, health, context.nowMs);
      const failureRate = expectedFailureRate(health, context.nowMs);
      const queuedMs = Math.max(reportedQueueMs, ownQueueMs);
      best = {
        leaf,
        distance,
        typicalLatencyMs,
        queueMs: queuedMs,
        failureRate,
      };
      minCostMs = costMs;
    }
  }
  return best;
}

function expectedCostMs(
  { leaf, distance, typicalLatencyMs }: Pick<ChosenLeaf, "leaf" | "distance" | "typicalLatencyMs">,
  health: LeafHealth,
  { isCold, nowMs, objectiveMs, eventLoopIdleMs, placement = "least-loaded" }: LeafChoiceContext,
): number {
  const isLeafCold = isCold?.(leaf.leafId) ?? leaf.warmingForMs > 0;
  const warmMs = isLeafCold ? typicalLatencyMs * WARMUP_FACTOR : typicalLatencyMs;
  const load = loadOf(health, nowMs);
  const queuedMs = warmMs * Math.max(1, (load + 1) / leaf.slots);
  const unresponsiveMs = isUnresponsive(health, eventLoopIdleMs) ? UNRESPONSIVE_COST_MS : 0;
  const avoidMs = health.avoidUntilMs > nowMs ? AVOID_COST_MS : 0;
  const failureMs = expectedFailureRate(health, nowMs) * FAILURE_COST_MS;
  const distanceMs = DISTANCE_COST_MS[distance] * DISTANCE_FACTORS[placement];
  const isSlow = expectedSlowdown(health.slowdown, nowMs) > 1;
  const firstCallMs = (objectiveMs ?? Number.POSITIVE_INFINITY) * FIRST_CALL_OBJECTIVE_SHARE;
  const lateMs = isSlow ? Math.max(0, queuedMs - firstCallMs) * LATE_COST_FACTOR : 0;
  return queuedMs + lateMs + distanceMs + unresponsiveMs + avoidMs + failureMs;
}

/**
 * Load of a leaf: the greater of this box's open calls and the reported load, which decays with its
 * age.
 */
function loadOf({ openCalls, reportedAtMs, reportedLoad }: LeafHealth, nowMs: number): number {
  const reportWeight = Math.max(0, 1 - (nowMs - reportedAtMs) / REPORTED_LOAD_TTL_MS);
  return Math.max(openCalls.length, reportedLoad * reportWeight);
}

/**
 * Estimates the queueing delay of a call at a leaf.
 *
 * @param leaf - The leaf's number of slots.
 * @param health - Observed health of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns The delay in milliseconds.
 */
export function queueMs({ slots }: Pick<Leaf, "slots">, health: LeafHealth, nowMs: number): number {
  const queuedCalls = Math.max(0, loadOf(health, nowMs) + 1 - slots);
  return (queuedCalls / slots) * health.workMs * expectedSlowdown(health.slowdown, nowMs);
}

/**
 * Returns whether this box has too many calls open at a leaf to accept relayed calls for it.
 *
 * @param health - Observed health of the leaf.
 * @param leaf - The leaf's number of slots.
 * @returns Whether the leaf is full.
 */
export function isFull({ openCalls }: LeafHealth, { slots }: Pick<Leaf, "slots">): boolean {
  return openCalls.length >= slots * FULL_FACTOR;
}

/**
 * Returns whether a leaf or a box is considered unresponsive.
 *
 * @param health - Observed health of the leaf or box.
 * @param eventLoopIdleMs - Current event-loop idle time, in milliseconds.
 * @returns Whether calls are open and none has been answered for much longer than the mean latency.
 */
export function isUnresponsive(health: LeafHealth, eventLoopIdleMs: number): boolean {
  const { lastAnswerAtIdleMs, meanMs, openCalls } = health;
  const [oldest] = openCalls;
  if (oldest === undefined) {
    return false;
  }
  const openCallCount = openCalls.length > 1 ? "several" : "one";
  const limitMs = Math.max(
    MIN_UNRESPONSIVE_MS[openCallCount],
    UNRESPONSIVE_LATENCY_FACTORS[openCallCount] * meanMs,
  );
  return eventLoopIdleMs - Math.max(oldest.sentAtIdleMs, lastAnswerAtIdleMs) > limitMs;
}
