/**
 * Divides the calls that a cold leaf can bear among the boxes that call it.
 *
 * A cold leaf can bear only a few calls a second from all boxes together, and is overloaded above
 * that. Boxes may be partitioned from one another while each still reaches the leaf, so no box may
 * take over the quota of another that it considers dead. Quotas are therefore computed over all
 * boxes that have not been removed, and the quota of a stopped box is left unused.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";

/**
 * Fraction of the limit that is divided. The remainder covers a box that was added during a
 * partition and so was not counted by the others.
 */
const DIVIDED_SHARE = 0.75;

/** Minimum useful quota, in calls a second. */
const MIN_QUOTA = 2;

/** What a cold leaf can bear, and which boxes may call it. */
export interface ColdCallLimit {
  readonly leafId: string;
  /** Maximum calls within any second, from all boxes together. */
  readonly maxCalls: number;
  /** Names of the boxes that may call it. */
  readonly callingBoxes: ReadonlyArray<string>;
}

/**
 * Computes how many calls one box may send to a cold leaf within a second. The quotas of all boxes
 * with the same view of `callingBoxes` add up to less than the limit.
 *
 * @param limit - The limit, and the boxes that may call the leaf.
 * @param box - The box.
 * @returns Maximum calls within any second; 0 for a box that must leave the leaf to others.
 */
export function coldCallQuota(
  { leafId, maxCalls, callingBoxes }: ColdCallLimit,
  box: string,
): number {
  const dividedCalls = Math.floor(maxCalls * DIVIDED_SHARE);
  const maxOwners = Math.max(1, Math.floor(dividedCalls / MIN_QUOTA));
  const owners = rendezvousRank(leafId, callingBoxes).slice(0, maxOwners);
  return owners.includes(box) ? Math.floor(dividedCalls / owners.length) : 0;
}
