/**
 * What is known of an order, and what follows from it.
 *
 * @module
 */
import type { Rollout, StorePosition } from "../model/mod.js";
import type { FactEvent, OwnAttempt, RolloutFacts, RolloutMember } from "./coordination_types.js";

/** Time over which the rate of requests is measured, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

/** Longest time from the switch to the deadline, in milliseconds. */
const MAX_SWITCH_LEAD_MS = 2_500;

/**
 * Shortest time from the switch to the deadline, in milliseconds: about the time in which an
 * attempt is announced, the open calls end and the verdict is written.
 */
export const MIN_SWITCH_LEAD_MS = 600;

/**
 * Time from the decision to switch until all boxes have switched, in milliseconds. It covers the
 * record and the announcement of the attempt, and a deadline that this box estimates too late
 * because it learned of the order late.
 */
const ANNOUNCEMENT_MS = 250;

/**
 * Part of the remaining allowance that the switch may use, 0 to 1. The rest is a margin, as the
 * rate of requests is an estimate.
 */
const USABLE_ALLOWANCE = 0.8;

/** Time after which an unconfirmed attempt is aborted at the latest, in milliseconds. */
export const MAX_ATTEMPT_MS = 3_000;

/**
 * Shortest time for which the target should receive all calls before `completed` is written, in
 * milliseconds. It applies even if the verdict then misses the deadline, as a version that is bad
 * only under full load is found in this time; only the allowance shortens it.
 */
const MIN_FULL_TRAFFIC_MS = 300;

/**
 * Longest time from when an attempt may be completed until `completed` is sent, in milliseconds.
 * The coordination ticks at this interval, and the target receives all calls until then.
 */
const COMPLETION_DELAY_MS = 100;

/** Time reserved before the deadline for writing the verdict, in milliseconds. */
const VERDICT_WRITE_MS = 400;

/**
 * Time from when an order is first seen until it may be completed without a switch because only the
 * target has leafs, in milliseconds. Orders and leafs arrive by different watches, so the leafs of
 * other versions may arrive later.
 */
const ALONE_DELAY_MS = 1_000;

type FactHandlers = {
  readonly [K in FactEvent["kind"]]: (
    facts: RolloutFacts,
    event: Extract<FactEvent, { readonly kind: K }>,
  ) => RolloutFacts;
};

const FACT_HANDLERS: FactHandlers = {
  reports: (facts, { requests, targetCalls, confirmations }) => {
    // Requests after the deadline do not add to the allowance. A box that learns of the order only
    // then has no earlier total, so it uses the reported one.
    const isCounted = facts.nowMs <= deadlineOf(facts.order) || facts.load.requests === 0;
    const counted = isCounted ? requests : facts.load.requests;
    const load = { ...facts.load, requests: counted, targetCalls };
    const hadTarget = facts.hadTarget || targetCalls > 0;
    return measureRate({ ...facts, load, hadTarget, confirmations }, requests);
  },
  members: (facts, { members, listedBoxes }) => ({ ...facts, members, listedBoxes }),
  leafs: (facts, { leafs }) => ({
    ...facts,
    leafs,
    hadTarget: facts.hadTarget || leafs.targetCount > 0,
    seenBaselines: [...new Set([...facts.seenBaselines, ...leafs.baselineVersions])],
  }),
};

/**
 * Applies an event that changes only what is known; the state decides on it at the next tick.
 *
 * @param facts - What is known so far.
 * @param event - The event.
 * @returns What is known from now on.
 */
export function applyFact(facts: RolloutFacts, event: FactEvent): RolloutFacts {
  const handler = FACT_HANDLERS[event.kind] as (
    facts: RolloutFacts,
    event: FactEvent,
  ) => RolloutFacts;
  return handler(facts, event);
}

/**
 * Returns whether an event changes only what is known.
 *
 * @param event - An event of the coordination.
 * @returns Whether it is a {@link FactEvent}.
 */
export function isFact(event: { readonly kind: string }): event is FactEvent {
  return Object.hasOwn(FACT_HANDLERS, event.kind);
}

function measureRate(facts: RolloutFacts, requests: number): RolloutFacts {
  const { atMs, requests: before } = facts.loadSample;
  const elapsedMs = facts.nowMs - atMs;
  if (elapsedMs < RATE_WINDOW_MS) {
    return facts;
  }
  const perSecond = (Math.max(0, requests - before) * 1_000) / elapsedMs;
  const loadSample = { atMs: facts.nowMs, requests };
  return { ...facts, load: { ...facts.load, perSecond }, loadSample };
}

/**
 * Applies a view of the order. One that is earlier than the known view changes only the revision
 * and `isBad`.
 *
 * @param facts - What is known so far.
 * @param order - The order as the store or another box reports it.
 * @param revision - Position of the object's last change; `undefined` if the view does not tell.
 * @returns What is known from now on.
 */
export function applyView(
  facts: RolloutFacts,
  order: Rollout,
  revision: StorePosition | undefined,
): RolloutFacts {
  const later = isEarlierView(order, facts.order) ? facts.order : order;
  // A verdict of this box may not have reached the orders yet.
  const isBad = order.isBad || facts.order.isBad;
  return applyRevision({ ...facts, order: { ...later, isBad } }, revision);
}

/** Whether one view of an order is earlier than another; verdicts are the latest. */
function isEarlierView(order: Rollout, other: Rollout): boolean {
  const ranks = [order, other].map(({ attempt, stage, state }) => {
    return [state === "running" ? 0 : 1, attempt, stage === "switching" ? 1 : 0];
  });
  const [orderRanks = [], otherRanks = []] = ranks;
  const firstDifferent = orderRanks.findIndex((rank, index) => rank !== otherRanks[index]);
  return (
    firstDifferent >= 0 && (orderRanks[firstDifferent] ?? 0) < (otherRanks[firstDifferent] ?? 0)
  );
}

/**
 * Applies a revision. It only increases, also over restores, as later eras have higher positions.
 *
 * @param facts - What is known so far.
 * @param revision - Position of the object's last change; `undefined` if unknown.
 * @returns What is known from now on.
 */
export function applyRevision(
  facts: RolloutFacts,
  revision: StorePosition | undefined,
): RolloutFacts {
  const isLater = revision !== undefined && revision > (facts.revision ?? -1);
  return isLater ? { ...facts, revision } : facts;
}

/**
 * Returns the deadline of an order.
 *
 * @param order - The order.
 * @returns The time on this box's clock, in milliseconds.
 */
export function deadlineOf({ orderedAtMs, durationMs }: Rollout): number {
  return orderedAtMs + durationMs;
}

/**
 * Returns whether the order has no status yet. The first status changes the object's revision,
 * which is the position of the order until then.
 *
 * @param facts - What is known of the order.
 * @returns Whether no status is known to be recorded.
 */
export function isUnrecorded({ order, revision }: RolloutFacts): boolean {
  return revision === undefined || revision <= order.orderPosition;
}

/**
 * Computes the number of calls to the target that are still allowed over all boxes.
 *
 * @param facts - What is known of the order.
 * @returns The number of calls; negative if the allowance is exceeded.
 */
export function remainingCalls(facts: RolloutFacts): number {
  const { requests, targetCalls } = facts.load;
  return facts.exposureShare * requests + facts.exposureSlackCalls - targetCalls;
}

/**
 * Estimates for how long the target may receive all calls before the allowance is used up.
 *
 * @param facts - What is known of the order.
 * @returns The time in milliseconds; infinity without requests.
 */
export function remainingMs(facts: RolloutFacts): number {
  const left = Math.max(0, remainingCalls(facts));
  return facts.load.perSecond === 0 ? Infinity : (left * 1_000) / facts.load.perSecond;
}

/**
 * Returns whether an attempt to switch is to start now.
 *
 * @param facts - What is known of the order.
 * @returns Whether the deadline is near enough, the allowance suffices and the target can serve
 *   alone.
 */
export function isSwitchDue(facts: RolloutFacts): boolean {
  const { nowMs, order } = facts;
  const leadMs = Math.min(MAX_SWITCH_LEAD_MS, USABLE_ALLOWANCE * remainingMs(facts));
  const dueFromMs = deadlineOf(order) - Math.max(MIN_SWITCH_LEAD_MS, leadMs) - ANNOUNCEMENT_MS;
  const isNearDeadline = nowMs >= dueFromMs;
  // The first attempt needs no further allowance, as the share of the gradual stage leaves enough.
  const isAllowed = order.attempt === 0 || remainingMs(facts) >= MIN_SWITCH_LEAD_MS;
  return isNearDeadline && isAllowed && facts.leafs.canServeAlone;
}

/**
 * Returns when an attempt that starts now may be completed, and when it is aborted. The target
 * receives all calls for as long as the deadline and the allowance permit, as that is the only test
 * under full load.
 *
 * @param facts - What is known of the order.
 * @returns The times on this box's clock, in milliseconds.
 */
export function attemptTimes(
  facts: RolloutFacts,
): Pick<OwnAttempt, "completeFromMs" | "abortAtMs"> {
  const { nowMs, order } = facts;
  const untilDeadlineMs = deadlineOf(order) - VERDICT_WRITE_MS - nowMs;
  const fullTrafficMs = Math.max(MIN_FULL_TRAFFIC_MS, untilDeadlineMs);
  const allowedMs = remainingMs(facts);
  const usableMs = Math.max(0, USABLE_ALLOWANCE * allowedMs - COMPLETION_DELAY_MS);
  return {
    completeFromMs: nowMs + Math.min(fullTrafficMs, usableMs),
    abortAtMs: nowMs + Math.min(MAX_ATTEMPT_MS, Math.max(MIN_FULL_TRAFFIC_MS, allowedMs)),
  };
}

/**
 * Returns whether the target had leafs and has none at the deadline.
 *
 * @param facts - What is known of the order.
 * @returns Whether the order is to be rolled back for that reason.
 */
export function isTargetGone({ hadTarget, leafs, nowMs, order }: RolloutFacts): boolean {
  return hadTarget && leafs.targetCount === 0 && nowMs >= deadlineOf(order);
}

/**
 * Returns whether only the target has had leafs since the order was first seen.
 *
 * @param facts - What is known of the order.
 * @returns Whether the order can be completed without a switch.
 */
export function isTargetAlone(facts: RolloutFacts): boolean {
  const { firstSeenAtMs, leafs, nowMs, seenBaselines } = facts;
  const isKnown = nowMs >= firstSeenAtMs + ALONE_DELAY_MS;
  return isKnown && leafs.canServeAlone && seenBaselines.length === 0;
}

/**
 * Returns the live boxes that have not confirmed an attempt.
 *
 * @param facts - What is known of the order.
 * @param attempt - Number of the attempt.
 * @returns The boxes.
 */
export function unconfirmedBoxes(
  { confirmations, members }: RolloutFacts,
  attempt: number,
): ReadonlyArray<RolloutMember> {
  const confirmed = new Set(
    confirmations
      .filter((each) => each.attempt === attempt)
      .map(({ box, incarnation }) => `${box} ${incarnation}`),
  );
  return members.filter(({ box, incarnation, isDead }) => {
    return !isDead && !confirmed.has(`${box} ${incarnation}`);
  });
}

/**
 * Returns which confirmations an attempt lacks.
 *
 * @param facts - What is known of the order.
 * @param own - The attempt.
 * @returns Names of boxes, and a phrase if listed boxes are unknown; empty if none is missing.
 */
export function missingFor(facts: RolloutFacts, { attempt }: OwnAttempt): ReadonlyArray<string> {
  const { listedBoxes, members } = facts;
  const missing = unconfirmedBoxes(facts, attempt).map(({ box }) => box);
  // A box that is listed but not known could send calls unseen.
  const isComplete = listedBoxes !== undefined && members.length >= listedBoxes;
  return isComplete ? missing : [...missing, "boxes that are listed but not known"];
}

/**
 * Returns the boxes that are not known to be dead.
 *
 * @param facts - What is known of the order.
 * @returns Their names.
 */
export function liveBoxes({ members }: RolloutFacts): ReadonlyArray<string> {
  return members.filter(({ isDead }) => !isDead).map(({ box }) => box);
}

/**
 * Returns the inputs of a decision, for its log line.
 *
 * @param facts - What is known of the order.
 * @returns Fields of the line.
 */
export function logFields(facts: RolloutFacts): Readonly<Record<string, unknown>> {
  const { load, members, nowMs, order, revision, role } = facts;
  return {
    ...{ service: order.service, targetVersion: order.targetVersion, attempt: order.attempt },
    ...{ orderPosition: order.orderPosition, revision, role, isBad: order.isBad },
    ...{ requests: load.requests, targetCalls: load.targetCalls },
    ...{ perSecond: Math.round(load.perSecond), boxCount: members.length },
    orderAgeMs: Math.round(nowMs - order.orderedAtMs),
    reportsAgeMs: Math.round(nowMs - facts.loadSample.atMs),
  };
}

/**
 * Returns what is known of an order that this box has just learned of.
 *
 * @param order - The order.
 * @param bounds - Bounds from the settings, and the current time.
 * @returns The initial facts.
 */
export function initialFacts(
  order: Rollout,
  bounds: Pick<RolloutFacts, "exposureShare" | "exposureSlackCalls" | "nowMs">,
): RolloutFacts {
  return {
    ...bounds,
    order,
    revision: undefined,
    firstSeenAtMs: bounds.nowMs,
    role: "none",
    members: [],
    listedBoxes: undefined,
    confirmations: [],
    load: { requests: 0, targetCalls: 0, perSecond: 0 },
    loadSample: { atMs: bounds.nowMs, requests: 0 },
    leafs: { targetCount: 0, canServeAlone: false, baselineVersions: [] },
    hadTarget: false,
    seenBaselines: [],
  };
}
