/**
 * Selects the boxes that a caller is advised to use.
 *
 * Load pattern: urgent queries whose latency objective is a few dozen milliseconds, in a region
 * whose data centres are several milliseconds apart. A caller that uses a box of the other data
 * centre pays that distance twice, for the request and for the answer, out of an objective that
 * counts from the caller. Where data centres are close to each other, callers use all boxes of
 * their region, which spreads bursts better.
 *
 * @module
 */
import type { Member } from "../model/mod.js";

/**
 * Share of the tightest latency objective, 0 to 1. Callers are kept in their own data centre if the
 * round trip to another one takes longer than this.
 */
const DISTANT_OBJECTIVE_SHARE = 0.05;

/** Minimum number of near boxes to which callers are limited, so that one of them may fail. */
const MIN_NEAR_BOXES = 2;

/** What is known about a caller and its distance to the boxes. */
export interface CallerLocation {
  /** Data centre of the caller. */
  readonly dataCentre: string;
  /**
   * Returns the round-trip time between the caller's data centre and another one of its region, in
   * milliseconds; `undefined` if it is unknown.
   */
  readonly roundTripMs: (dataCentre: string) => number | undefined;
  /** Smallest latency objective of all routes, in milliseconds. */
  readonly tightestObjectiveMs: number;
}

/**
 * Selects the boxes for a caller.
 *
 * @param serving - Serving boxes of the caller's region.
 * @param caller - Location of the caller.
 * @returns The boxes of the caller's data centre if the others are distant; otherwise all.
 */
export function advisedBoxes(
  serving: ReadonlyArray<Member>,
  { dataCentre, roundTripMs, tightestObjectiveMs }: CallerLocation,
): ReadonlyArray<Member> {
  const limitMs = tightestObjectiveMs * DISTANT_OBJECTIVE_SHARE;
  const isDistant = (member: Member): boolean => {
    return member.dataCentre !== dataCentre && (roundTripMs(member.dataCentre) ?? 0) > limitMs;
  };
  const near = serving.filter((member) => !isDistant(member));
  return near.length < MIN_NEAR_BOXES ? serving : near;
}
