/**
 * Picks the boxes that watch the store. Each call has a price and a watch wakes with every change, so
 * a few boxes of each region watch and tell the others.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";

/**
 * Boxes of each region that watch the store. A store that turns away a third of the boxes then leaves
 * a region without a watcher in one case of 27, and the others still hear from other regions.
 */
export const WATCHERS_PER_REGION = 3;

/**
 * Picks the boxes of a region that watch the store, alike on every box that knows the same members.
 *
 * @param members - Boxes of the region that are believed to live.
 * @returns Ids of those that watch.
 */
export function storeWatchers(members: ReadonlyArray<Member>): ReadonlySet<string> {
  const ids = members.map(({ memberId }) => memberId);
  return new Set(rendezvousRank("watch the store", ids).slice(0, WATCHERS_PER_REGION));
}
