/**
 * Selects the boxes of a region that receive requests from callers and other regions. Large boxes
 * are preferred, so that their connections to leafs stay in use and few requests reach small boxes.
 * The remaining boxes are on standby until serving boxes fail.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";

/** Minimum number of serving boxes in a region that has as many, so that it tolerates failures. */
const MIN_SERVING = 4;

/**
 * Minimum share of a region's processor cores that the serving boxes have, to leave capacity for
 * bursts.
 */
const MIN_CORES_SHARE = 0.5;

/**
 * Minimum share of the cores of a region's largest box with which a box counts as large. Smaller
 * boxes take several times as long for a query over many shards, whose parts also occupy their
 * slower links.
 */
const LARGE_BOX_SHARE = 0.5;

/**
 * Share of a region's processor cores up to which small boxes also serve. Each serving box needs
 * connections to all leafs of its region.
 */
const SMALL_BOX_CORES_SHARE = 0.25;

/** Number of cores assumed for a box that does not report it. */
const DEFAULT_CORES = 1;

/**
 * Selects the boxes that serve a region. The result is the same on each box that knows the same
 * members.
 *
 * @param members - Boxes of the region that accept work.
 * @returns The serving boxes, largest first unless all boxes serve.
 */
export function servingBoxes(members: ReadonlyArray<Member>): ReadonlyArray<Member> {
  if (members.length <= MIN_SERVING) {
    return members;
  }
  const totalCores = members.reduce((sum, each) => sum + coresOf(each), 0);
  const sorted = largestFirst(members);
  const minLargeCores = LARGE_BOX_SHARE * Math.max(...members.map(coresOf));
  const serving: Array<Member> = [];
  let cores = 0;
  for (const member of sorted) {
    const isLarge = coresOf(member) >= minLargeCores;
    const targetShare = isLarge ? MIN_CORES_SHARE : SMALL_BOX_CORES_SHARE;
    if (serving.length >= MIN_SERVING && cores >= targetShare * totalCores) {
      break;
    }
    serving.push(member);
    cores += coresOf(member);
  }
  return serving;
}

function coresOf({ processorCores = DEFAULT_CORES }: Member): number {
  return processorCores;
}

/** Sorts boxes by size; equal ones by hash, so that the order is the same on every box. */
function largestFirst(members: ReadonlyArray<Member>): ReadonlyArray<Member> {
  const ids = members.map(({ memberId }) => memberId);
  const rank = new Map(rendezvousRank("serve", ids).map((memberId, index) => [memberId, index]));
  return members.toSorted((a, b) => {
    const hashOrder = (rank.get(a.memberId) ?? 0) - (rank.get(b.memberId) ?? 0);
    return coresOf(b) - coresOf(a) || hashOrder;
  });
}
