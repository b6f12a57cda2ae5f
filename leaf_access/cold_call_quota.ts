/**
 * Shares what a cold leaf bears among the boxes that call it.
 *
 * The load pattern: leafs come back cold and bear a few calls a second from all boxes together; above that they
 * fall over. Boxes may be cut from one another while each still reaches the leaf, so that none may take over the
 * part of another that it takes for dead: parts are reckoned over all boxes that were ever heard of and have not
 * been forgotten, and stay unused where their box is gone.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";

/**
 * Part of the limit that is handed out. The rest is for a box that was added while others were cut off and so
 * reckoned without it: with four callers a region, a fifth one may spend as much as each of them.
 */
const HANDED_OUT = 0.75;

/** Calls within a second below which a part is not worth having: one call a second warms no connection. */
const LEAST_CALLS = 2;

/** What a cold leaf bears, and who may call it. */
export interface ColdCallLimit {
  readonly leafId: string;
  /** Calls within any second from all boxes together. */
  readonly maxCalls: number;
  /** Names of the boxes that may call it. */
  readonly callingBoxes: ReadonlyArray<string>;
}

/**
 * Works out how many calls one box may send to a cold leaf within a second. The parts of all boxes that reckon
 * with the same callers come to less than the limit.
 *
 * @param terms - The limit, and who may call the leaf.
 * @param box - The box.
 * @returns Calls within any second; 0 for a box that leaves the leaf to others.
 */
export function coldCallQuota(
  { leafId, maxCalls: mostCalls, callingBoxes: callers }: ColdCallLimit,
  box: string,
): number {
  const handedOut = Math.floor(mostCalls * HANDED_OUT);
  const mostOwners = Math.max(1, Math.floor(handedOut / LEAST_CALLS));
  const owners = rendezvousRank(leafId, callers).slice(0, mostOwners);
  return owners.includes(box) ? Math.floor(handedOut / owners.length) : 0;
}
