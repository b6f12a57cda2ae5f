/**
 * An entry's view of a leaf, and the choice of leafs by it: the entry's own observations, and the
 * pool's reports discounted by their age.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { fnv1a } from "../hashing/mod.js";
import type { Placement } from "../policy/mod.js";
import type { LeafReport } from "./entry_messages.js";

/** An entry's view of one leaf. */
export interface LeafView {
  readonly reportedWaitMs: number;
  readonly reportedAtMs: number;
  readonly serviceTimeMs: number;
  readonly available: boolean;
  /** Number of calls sent since the pool's last report. */
  readonly sentSinceReport: number;
  /** Number of consecutive failed calls. */
  readonly failures: number;
  /** Time until which the leaf is ejected for its failures. */
  readonly ejectedUntilMs: number;
}

/** View of a leaf without reports or observations. */
export const UNKNOWN_LEAF: LeafView = {
  reportedWaitMs: 0,
  reportedAtMs: 0,
  serviceTimeMs: 0,
  available: true,
  sentSinceReport: 0,
  failures: 0,
  ejectedUntilMs: 0,
};

/** Number of consecutive failures after which a leaf is ejected. */
const EJECT_AFTER_FAILURES = 3;

/** Time for which a leaf is ejected, in milliseconds. */
const EJECT_MS = 2_000;

/** Time after which a pool's report is ignored, in milliseconds. */
const REPORT_VALID_MS = 2_000;

/**
 * Time after which a report that a leaf is unavailable is ignored, in milliseconds. Pools repeat
 * such a report each second; without a repeat, the pool has terminated or no longer owns the leaf.
 */
const UNAVAILABLE_VALID_MS = 3_000;

/** Time added to the score of a leaf in another data centre, in milliseconds. */
const REMOTE_PENALTY_MS = 8;

/** Maximum affinity penalty in a leaf's score, as a share of the leaf's service time. */
const AFFINITY_SHARE = 0.25;

/**
 * Applies a pool's report.
 *
 * @param view - View of the leaf.
 * @param report - The report.
 * @param nowMs - Current time, in milliseconds.
 * @returns The updated view.
 */
export function applyReport(view: LeafView, report: LeafReport, nowMs: number): LeafView {
  return {
    ...view,
    reportedWaitMs: report.waitMs,
    reportedAtMs: nowMs,
    serviceTimeMs: report.serviceTimeMs,
    available: report.available,
    sentSinceReport: 0,
  };
}

/**
 * Returns whether calls may be sent to a leaf.
 *
 * @param view - View of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns Whether no recent report says that it is unavailable.
 */
export function acceptsCalls(view: LeafView, nowMs: number): boolean {
  return view.available || nowMs - view.reportedAtMs > UNAVAILABLE_VALID_MS;
}

/**
 * Records the outcome of a call.
 *
 * @param view - View of the leaf.
 * @param failed - Whether the call failed.
 * @param options - The current time, and whether another leaf may be ejected.
 * @returns The updated view.
 */
export function recordCallOutcome(
  view: LeafView,
  failed: boolean,
  { nowMs, mayEject }: { readonly nowMs: number; readonly mayEject: boolean },
): LeafView {
  if (!failed) {
    return view.failures === 0 ? view : { ...view, failures: 0, ejectedUntilMs: 0 };
  }
  const failures = view.failures + 1;
  const ejects = failures >= EJECT_AFTER_FAILURES && mayEject;
  const ejectedUntilMs = ejects ? nowMs + EJECT_MS : view.ejectedUntilMs;
  return { ...view, failures, ejectedUntilMs };
}

/**
 * Predicts the duration of a call to a leaf, including its wait.
 *
 * @param view - View of the leaf.
 * @param leaf - The leaf.
 * @param options - The current time, and the number of entries, each assumed to send as many
 *   calls as this one.
 * @returns Duration, in milliseconds; 0 if the leaf is unknown.
 */
export function predictMs(
  view: LeafView,
  leaf: Leaf,
  { nowMs, entries }: { readonly nowMs: number; readonly entries: number },
): number {
  const ageMs = nowMs - view.reportedAtMs;
  const waitMs = ageMs > REPORT_VALID_MS ? 0 : Math.max(0, view.reportedWaitMs - ageMs);
  const sent = ageMs > REPORT_VALID_MS ? 0 : view.sentSinceReport * entries;
  return waitMs + view.serviceTimeMs * (1 + sent / leaf.slots);
}

/**
 * Returns whether a pool has reported a leaf recently enough to refuse queries by its report. A leaf
 * that receives no calls is not reported, so that an old report may no longer be true.
 *
 * @param view - View of the leaf.
 * @param nowMs - Current time, in milliseconds.
 * @returns Whether the last report is recent.
 */
export function hasRecentReport({ reportedAtMs }: LeafView, nowMs: number): boolean {
  return nowMs - reportedAtMs <= REPORT_VALID_MS;
}

/** A leaf that a call may be sent to. */
export interface Candidate {
  readonly leaf: Leaf;
  readonly view: LeafView;
  readonly predictedMs: number;
}

/** Properties of the request and the entry that affect placement. */
export interface PlacementContext {
  /** Key by which identical requests prefer the same leaf. */
  readonly affinityKey: string;
  readonly dataCentre: string;
}

type Score = (candidate: Candidate, context: PlacementContext) => number;

const SCORES: Readonly<Record<Placement, Score>> = {
  "least-loaded": (candidate, context) => candidate.predictedMs + affinityMs(candidate, context),
  nearest: (candidate, context) =>
    candidate.predictedMs +
    affinityMs(candidate, context) +
    (candidate.leaf.dataCentre === context.dataCentre ? 0 : REMOTE_PENALTY_MS),
  spread: ({ leaf }, { affinityKey }) => fnv1a(`${leaf.leafId} ${affinityKey}`),
};

function affinityMs({ leaf, view }: Candidate, { affinityKey }: PlacementContext): number {
  const position = fnv1a(`${leaf.leafId} ${affinityKey}`) / 0xffffffff;
  return position * AFFINITY_SHARE * Math.max(1, view.serviceTimeMs);
}

/**
 * Chooses the leaf for a call.
 *
 * @param candidates - Leafs that may be called.
 * @param placement - Placement strategy given by the policy.
 * @param context - Properties of the request and the entry.
 * @returns The best candidate, or `undefined` if there is none.
 */
export function chooseLeaf(
  candidates: ReadonlyArray<Candidate>,
  placement: Placement,
  context: PlacementContext,
): Candidate | undefined {
  const score = SCORES[placement];
  let best: Candidate | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const candidateScore = score(candidate, context);
    if (candidateScore < bestScore) {
      best = candidate;
      bestScore = candidateScore;
    }
  }
  return best;
}
