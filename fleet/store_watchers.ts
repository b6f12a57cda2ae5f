/**
 * Selects the boxes that watch the store. Calls to the store are charged, so that only a few boxes
 * of each region watch it and notify the others.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";

/**
 * Number of boxes in each region that watch the store; several, as the store may refuse some boxes.
 */
export const WATCHERS_PER_REGION = 3;

/**
 * Selects the boxes of a region that watch the store. The result is the same on each box that knows
 * the same members.
 *
 * @param members - Boxes of the region that are considered alive.
 * @returns The ids of the selected boxes.
 */
export function storeWatchers(members: ReadonlyArray<Member>): ReadonlySet<string> {
  const ids = members.map(({ memberId }) => memberId);
  return new Set(rendezvousRank("watch the store", ids).slice(0, WATCHERS_PER_REGION));
}
