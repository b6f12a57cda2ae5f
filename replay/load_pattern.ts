/**
 * Load patterns: arrivals of queries, the fleet that serves them, and the faults injected meanwhile.
 *
 * @module
 */

/** A kind of query. */
export interface QueryKind {
  readonly name: string;
  /** Share of the arrivals, 0 to 1. */
  readonly share: number;
  /** Mean time that a leaf takes to process one call, in milliseconds. */
  readonly workMs: number;
  /** Latency objective, in milliseconds. */
  readonly aimMs: number;
  readonly deadlineMs: number;
  /** Share of the shards that an answer must include, 0 to 1. */
  readonly minCoverage: number;
  /** Credit for a complete answer within the latency objective. */
  readonly worth: number;
  /** Urgency; 0 is the most urgent. */
  readonly priorityRank: number;
}

/** A fault that affects leafs for a period. */
export interface LeafFault {
  /** Affected leafs take longer, refuse calls, or run calls and then reset the connection. */
  readonly kind: "slow" | "shed" | "reset";
  /** Share of all leafs that are affected, 0 to 1. */
  readonly leafShare: number;
  /** For `slow`, the factor on processing time; otherwise the share of calls that fail, 0 to 1. */
  readonly strength: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A period with a higher arrival rate. */
export interface Burst {
  /** Factor on the arrival rate. */
  readonly factor: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** One load pattern. */
export interface LoadPattern {
  readonly kinds: ReadonlyArray<QueryKind>;
  readonly shards: number;
  /** Calls that a leaf processes concurrently. */
  readonly slots: number;
  /** Leafs per shard; 2 by default. */
  readonly replicas?: number;
  /** Short slow periods, as on machines shared with other programs; none by default. */
  readonly slowPeriods?: SlowPeriods;
  /** Those of the three regions that have leafs; the leafs of a shard are distributed over them. */
  readonly leafRegions: ReadonlyArray<number>;
  /** Boxes in each of the three regions that receive requests. */
  readonly boxesPerRegion: number;
  /** Number of boxes that share the slack for extra calls. */
  readonly boxesSharingSlack: number;
  readonly arrivalsPerSecond: number;
  /** Time in which queries arrive, in milliseconds. */
  readonly durationMs: number;
  /** Length of the periodic pauses of each leaf, in milliseconds. */
  readonly pauseMs: number;
  /** Period of these pauses, in milliseconds. */
  readonly pauseIntervalMs: number;
  /** Extra calls allowed per service and budget window, in addition to a share of its requests. */
  readonly slackCalls: number;
  readonly faults: ReadonlyArray<LeafFault>;
  readonly bursts: ReadonlyArray<Burst>;
  /** Simultaneous restart of all boxes; none by default. */
  readonly restart?: BoxRestart;
}

/** Random slow periods: time is divided into periods, and a leaf is slow for an entire period or not at all. */
export interface SlowPeriods {
  /** Probability that a leaf is slow in a period, 0 to 1. */
  readonly share: number;
  /** Factor on processing time in a slow period. */
  readonly factor: number;
  readonly periodMs: number;
}

/** A simultaneous restart of all boxes, which discards their state. */
export interface BoxRestart {
  readonly atMs: number;
  /** Time that a box computes for each query directly after the restart, in milliseconds; falls to 0 during the warm-up. */
  readonly busyMs: number;
  /** Length of the warm-up, in milliseconds. */
  readonly warmUpMs: number;
}

/** A search over dozens of shards, and a suggestion query with a short latency objective. */
const SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "search", share: 0.75, workMs: 28, aimMs: 215, deadlineMs: 3_000 },
    ...{ minCoverage: 0.89, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "suggest", share: 0.25, workMs: 9.5, aimMs: 96, deadlineMs: 1_500 },
    ...{ minCoverage: 0.75, worth: 1, priorityRank: 2 },
  },
];

/** Searches over many shards that need almost all of them, and short ones that need fewer. */
const WIDE_SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "sweep", share: 0.75, workMs: 28.6, aimMs: 329, deadlineMs: 2_005 },
    ...{ minCoverage: 0.95, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "quick pick", share: 0.25, workMs: 9.57, aimMs: 110, deadlineMs: 1_004 },
    ...{ minCoverage: 0.85, worth: 1, priorityRank: 2 },
  },
];

/** Searches whose latency objective is shorter than the response time of a slow leaf. */
const SHORT_SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "sweep", share: 0.63, workMs: 10.7, aimMs: 98, deadlineMs: 995 },
    ...{ minCoverage: 0.95, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "quick pick", share: 0.37, workMs: 3.57, aimMs: 70, deadlineMs: 792 },
    ...{ minCoverage: 0.85, worth: 1, priorityRank: 2 },
  },
];

const CALM: LoadPattern = {
  ...{ kinds: SEARCHES, leafRegions: [0, 1, 2], boxesSharingSlack: 9 },
  ...{ shards: 30, slots: 2, boxesPerRegion: 3, arrivalsPerSecond: 60, durationMs: 12_000 },
  ...{ pauseMs: 250, pauseIntervalMs: 6_000, slackCalls: 56, faults: [], bursts: [] },
};

/** Many shards with leafs in two regions, and slack shared by more boxes than receive requests. */
const WIDE: LoadPattern = {
  ...{ kinds: WIDE_SEARCHES, leafRegions: [0, 1], boxesSharingSlack: 25 },
  ...{ shards: 87, slots: 2, boxesPerRegion: 6, arrivalsPerSecond: 34, durationMs: 12_000 },
  ...{ pauseMs: 250, pauseIntervalMs: 6_000, slackCalls: 430, faults: [], bursts: [] },
};

/** Three leafs per shard, one in each region, with short pauses and slow periods. */
const SHORT: LoadPattern = {
  ...{ kinds: SHORT_SEARCHES, leafRegions: [0, 1, 2], boxesSharingSlack: 16, replicas: 3 },
  ...{ shards: 90, slots: 2, boxesPerRegion: 4, arrivalsPerSecond: 22, durationMs: 12_000 },
  ...{ pauseMs: 120, pauseIntervalMs: 3_000, slackCalls: 160, faults: [], bursts: [] },
  slowPeriods: { share: 0.03, factor: 4, periodMs: 500 },
};

function withFaults(...faults: ReadonlyArray<LeafFault>): LoadPattern {
  return { ...CALM, faults };
}

function wideWithFaults(...faults: ReadonlyArray<LeafFault>): LoadPattern {
  return { ...WIDE, faults };
}

const FAULT_WINDOW = { fromMs: 3_000, untilMs: 10_000 } as const;

/** Load patterns by name. */
export const LOAD_PATTERNS: Readonly<Record<string, LoadPattern>> = {
  calm: CALM,
  busy: { ...CALM, arrivalsPerSecond: 90 },
  slow: withFaults({ kind: "slow", leafShare: 0.25, strength: 9, ...FAULT_WINDOW }),
  "slow-twice": withFaults(
    { kind: "slow", leafShare: 0.2, strength: 6, ...FAULT_WINDOW },
    { kind: "slow", leafShare: 0.2, strength: 9, fromMs: 5_000, untilMs: 10_000 },
  ),
  shed: withFaults({ kind: "shed", leafShare: 0.5, strength: 0.45, ...FAULT_WINDOW }),
  lose: withFaults({ kind: "reset", leafShare: 0.5, strength: 0.4, ...FAULT_WINDOW }),
  burst: { ...CALM, bursts: [{ factor: 4, fromMs: 3_000, untilMs: 7_000 }] },
  restart: {
    ...CALM,
    bursts: [{ factor: 2, fromMs: 5_000, untilMs: 6_500 }],
    restart: { atMs: 5_000, busyMs: 90, warmUpMs: 1_500 },
  },
  "short-calm": SHORT,
  "short-135": { ...SHORT, shards: 135 },
  "short-slow": {
    ...SHORT,
    faults: [{ kind: "slow", leafShare: 0.15, strength: 11, ...FAULT_WINDOW }],
  },
  "wide-calm": WIDE,
  "wide-129": { ...WIDE, shards: 129 },
  "wide-slow": wideWithFaults({ kind: "slow", leafShare: 0.15, strength: 10, ...FAULT_WINDOW }),
  "wide-slow-twice": wideWithFaults(
    { kind: "slow", leafShare: 0.14, strength: 9, ...FAULT_WINDOW },
    { kind: "slow", leafShare: 0.14, strength: 9, fromMs: 5_000, untilMs: 10_000 },
  ),
  "wide-slow-many": wideWithFaults({ kind: "slow", leafShare: 0.4, strength: 12, ...FAULT_WINDOW }),
  "wide-shed": wideWithFaults({ kind: "shed", leafShare: 0.8, strength: 0.6, ...FAULT_WINDOW }),
  "wide-lose": wideWithFaults({ kind: "reset", leafShare: 0.5, strength: 0.4, ...FAULT_WINDOW }),
  "wide-burst": { ...WIDE, bursts: [{ factor: 1.8, fromMs: 3_000, untilMs: 6_000 }] },
};
