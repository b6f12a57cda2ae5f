/**
 * Load patterns: who asks, of which leafs, and what goes wrong meanwhile.
 *
 * @module
 */

/** A kind of query, as its route and its callers make it. */
export interface QueryKind {
  readonly name: string;
  /** Share of the arrivals, 0 to 1. */
  readonly share: number;
  /** Mean time that a leaf works for one call, in milliseconds. */
  readonly workMs: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly leastShare: number;
  readonly worth: number;
  /** Urgency; 0 is the most urgent. */
  readonly priorityRank: number;
}

/** What goes wrong with leafs for a while. */
export interface LeafFault {
  /** Slow ones work longer, shedding ones refuse, losing ones run calls and reset the connection. */
  readonly kind: "slow" | "shed" | "lose";
  /** Share of all leafs that it strikes, 0 to 1. */
  readonly leafShare: number;
  /** Times as long for slow ones; share of the calls, 0 to 1, for the others. */
  readonly strength: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A time in which more callers ask. */
export interface Burst {
  /** Times as many arrivals. */
  readonly factor: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** One load pattern. */
export interface LoadPattern {
  readonly kinds: ReadonlyArray<QueryKind>;
  readonly shards: number;
  readonly slots: number;
  /** Leafs of each shard; 2 by default. */
  readonly copies?: number;
  /** Short slow spells, as leafs share their machines with others; none by default. */
  readonly spells?: SlowSpells;
  /** Regions of the three that have leafs; a shard's two leafs lie in two of them. */
  readonly leafRegions: ReadonlyArray<number>;
  /** Boxes in each of the three regions that take requests. */
  readonly boxesInRegion: number;
  /** Boxes among which the slack of extra calls is split. */
  readonly slackSharers: number;
  readonly perSecond: number;
  readonly lengthMs: number;
  /** Time for which each leaf stands still now and then, in milliseconds, and how often. */
  readonly pauseMs: number;
  readonly pauseEveryMs: number;
  /** Extra calls allowed to a service in ten seconds beside a fifth of its requests. */
  readonly slackCalls: number;
  readonly faults: ReadonlyArray<LeafFault>;
  readonly bursts: ReadonlyArray<Burst>;
  /** When all boxes start anew, knowing nothing, and for how long their first work takes longer. */
  readonly restart?: BoxRestart;
}

/** Slow spells of leafs: in each period a leaf is slow throughout or not at all. */
export interface SlowSpells {
  /** Share of the periods in which a leaf is slow, 0 to 1. */
  readonly share: number;
  /** Times as long that its work takes then. */
  readonly factor: number;
  readonly periodMs: number;
}

/** A moment at which all boxes start anew. */
export interface BoxRestart {
  readonly atMs: number;
  /** Time that a box is busy with each of its first queries before it reads anything, in milliseconds. */
  readonly busyMs: number;
  /** Time for which that goes on, in milliseconds. */
  readonly coldForMs: number;
}

/** A complete search over some dozens of shards, and an urgent one with a short aim. */
const SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "search", share: 0.75, workMs: 28, aimMs: 215, deadlineMs: 3_000 },
    ...{ leastShare: 0.89, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "suggest", share: 0.25, workMs: 9.5, aimMs: 96, deadlineMs: 1_500 },
    ...{ leastShare: 0.75, worth: 1, priorityRank: 2 },
  },
];

/** Nearly complete searches over many shards, and urgent ones that may lack more. */
const WIDE_SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "sweep", share: 0.75, workMs: 28.6, aimMs: 329, deadlineMs: 2_005 },
    ...{ leastShare: 0.95, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "quick pick", share: 0.25, workMs: 9.57, aimMs: 110, deadlineMs: 1_004 },
    ...{ leastShare: 0.85, worth: 1, priorityRank: 2 },
  },
];

/** Searches with aims so short that a slow leaf cannot be waited for, over three leafs a shard. */
const SHORT_SEARCHES: ReadonlyArray<QueryKind> = [
  {
    ...{ name: "sweep", share: 0.63, workMs: 10.7, aimMs: 98, deadlineMs: 995 },
    ...{ leastShare: 0.95, worth: 2, priorityRank: 1 },
  },
  {
    ...{ name: "quick pick", share: 0.37, workMs: 3.57, aimMs: 70, deadlineMs: 792 },
    ...{ leastShare: 0.85, worth: 1, priorityRank: 2 },
  },
];

const CALM: LoadPattern = {
  ...{ kinds: SEARCHES, leafRegions: [0, 1, 2], slackSharers: 9 },
  ...{ shards: 30, slots: 2, boxesInRegion: 3, perSecond: 60, lengthMs: 12_000 },
  ...{ pauseMs: 250, pauseEveryMs: 6_000, slackCalls: 56, faults: [], bursts: [] },
};

/** A fleet of hundreds of boxes, a few of which serve in each region, over leafs in two regions. */
const WIDE: LoadPattern = {
  ...{ kinds: WIDE_SEARCHES, leafRegions: [0, 1], slackSharers: 25 },
  ...{ shards: 87, slots: 2, boxesInRegion: 6, perSecond: 34, lengthMs: 12_000 },
  ...{ pauseMs: 250, pauseEveryMs: 6_000, slackCalls: 430, faults: [], bursts: [] },
};

/** Three leafs a shard, one in each region, that pause shortly, have slow spells and report their pace. */
const SHORT: LoadPattern = {
  ...{ kinds: SHORT_SEARCHES, leafRegions: [0, 1, 2], slackSharers: 16, copies: 3 },
  ...{ shards: 90, slots: 2, boxesInRegion: 4, perSecond: 22, lengthMs: 12_000 },
  ...{ pauseMs: 120, pauseEveryMs: 3_000, slackCalls: 160, faults: [], bursts: [] },
  spells: { share: 0.03, factor: 4, periodMs: 500 },
};

function faulty(...faults: ReadonlyArray<LeafFault>): LoadPattern {
  return { ...CALM, faults };
}

function wideFaulty(...faults: ReadonlyArray<LeafFault>): LoadPattern {
  return { ...WIDE, faults };
}

const WHILE = { fromMs: 3_000, untilMs: 10_000 } as const;

/** Patterns by name. */
export const LOAD_PATTERNS: Readonly<Record<string, LoadPattern>> = {
  calm: CALM,
  busy: { ...CALM, perSecond: 90 },
  slow: faulty({ kind: "slow", leafShare: 0.25, strength: 9, ...WHILE }),
  "slow-twice": faulty(
    { kind: "slow", leafShare: 0.2, strength: 6, ...WHILE },
    { kind: "slow", leafShare: 0.2, strength: 9, fromMs: 5_000, untilMs: 10_000 },
  ),
  shed: faulty({ kind: "shed", leafShare: 0.5, strength: 0.45, ...WHILE }),
  lose: faulty({ kind: "lose", leafShare: 0.5, strength: 0.4, ...WHILE }),
  burst: { ...CALM, bursts: [{ factor: 4, fromMs: 3_000, untilMs: 7_000 }] },
  restart: {
    ...CALM,
    bursts: [{ factor: 2, fromMs: 5_000, untilMs: 6_500 }],
    restart: { atMs: 5_000, busyMs: 90, coldForMs: 1_500 },
  },
  "short-calm": SHORT,
  "short-135": { ...SHORT, shards: 135 },
  "short-slow": {
    ...SHORT,
    faults: [{ kind: "slow", leafShare: 0.15, strength: 11, ...WHILE }],
  },
  "wide-calm": WIDE,
  "wide-129": { ...WIDE, shards: 129 },
  "wide-slow": wideFaulty({ kind: "slow", leafShare: 0.15, strength: 10, ...WHILE }),
  "wide-slow-twice": wideFaulty(
    { kind: "slow", leafShare: 0.14, strength: 9, ...WHILE },
    { kind: "slow", leafShare: 0.14, strength: 9, fromMs: 5_000, untilMs: 10_000 },
  ),
  "wide-slow-many": wideFaulty({ kind: "slow", leafShare: 0.4, strength: 12, ...WHILE }),
  "wide-shed": wideFaulty({ kind: "shed", leafShare: 0.8, strength: 0.6, ...WHILE }),
  "wide-lose": wideFaulty({ kind: "lose", leafShare: 0.5, strength: 0.4, ...WHILE }),
  "wide-burst": { ...WIDE, bursts: [{ factor: 1.8, fromMs: 3_000, untilMs: 6_000 }] },
};
