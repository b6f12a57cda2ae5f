/**
 * Picks the boxes of a region that callers and other regions are sent to. A few roomy boxes serve
 * better than all: their connections to leafs stay in use, and fewer callers meet a small box. The
 * others stand by, ready to be sent to when those go. Answers the pattern of a fleet of a few roomy and
 * many small boxes whose load is far below what they could bear together.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";

/** Fewest boxes of a region that serve, where there are so many: the loss of some must not show. */
const LEAST_SERVING = 4;

/** Share of a region's processors that serving boxes hold at least, so that bursts find room. */
const LEAST_PROCESSOR_SHARE = 0.5;

/**
 * Share of the roomiest box's processor that a box has at least to count as roomy. A query over 87 shards
 * takes a box with a quarter of the processor four times as long, and its parts hold a link of 14 Mbit/s
 * for 50 ms.
 */
const ROOMY_SHARE = 0.5;

/**
 * Share of a region's processors up to which boxes that are not roomy serve too. Each box that serves
 * connects to all leafs near it and compiles the whole way of a query for itself.
 */
const SMALL_PROCESSOR_SHARE = 0.25;

/** Processor of a box that does not tell its own, in cores. */
const UNKNOWN_CORES = 1;

/**
 * Picks the boxes that serve a region; alike on every box that knows the same members.
 *
 * @param members - Boxes of the region that can be given work.
 * @returns Those that serve, the roomiest first.
 */
export function servingBoxes(members: ReadonlyArray<Member>): ReadonlyArray<Member> {
  if (members.length <= LEAST_SERVING) {
    return members;
  }
  const allCores = members.reduce((sum, each) => sum + coresOf(each), 0);
  const ordered = roomiestFirst(members);
  const roomyCores = ROOMY_SHARE * Math.max(...members.map(coresOf));
  const serving: Array<Member> = [];
  let cores = 0;
  for (const member of ordered) {
    const isRoomy = coresOf(member) >= roomyCores;
    const wantedShare = isRoomy ? LEAST_PROCESSOR_SHARE : SMALL_PROCESSOR_SHARE;
    if (serving.length >= LEAST_SERVING && cores >= wantedShare * allCores) {
      break;
    }
    serving.push(member);
    cores += coresOf(member);
  }
  return serving;
}

function coresOf({ processorCores = UNKNOWN_CORES }: Member): number {
  return processorCores;
}

/** Among equal boxes the order is by hash, so that it does not hang on what each box heard first. */
function roomiestFirst(members: ReadonlyArray<Member>): ReadonlyArray<Member> {
  const ids = members.map(({ memberId }) => memberId);
  const rank = new Map(rendezvousRank("serve", ids).map((memberId, index) => [memberId, index]));
  return members.toSorted((a, b) => {
    const order = (rank.get(a.memberId) ?? 0) - (rank.get(b.memberId) ?? 0);
    return coresOf(b) - coresOf(a) || order;
  });
}
