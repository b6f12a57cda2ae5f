/**
 * Which pool owns which leaf: rendezvous hashing over the live pools of the leaf's data centre.
 *
 * Ownership is an optimisation, not a guarantee: while views of the membership differ, two pools
 * may own a leaf, so each uses at most half of the leaf's connections.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { rendezvousRank } from "../hashing/mod.js";
import { aliveMembers, type Membership } from "../membership/mod.js";
import type { Member } from "../model/mod.js";

/** Pools that may call a leaf, the owner first and the standby second. */
export type OwnerRank = ReadonlyArray<Member>;

interface OwnerView {
  readonly pools: ReadonlyArray<Member>;
  readonly ranks: Map<string, OwnerRank>;
}

const MAX_OWNERS = 3;

// Caches ranks by member table, as they depend on its records only.
const VIEWS = new WeakMap<Membership["records"], OwnerView>();

/**
 * Ranks the pools for a leaf.
 *
 * @param membership - The daemon's table of members.
 * @param leaf - The leaf.
 * @returns Its owner, its standby and one more; empty when no pool is alive.
 */
export function ownersOf(membership: Membership, leaf: Leaf): OwnerRank {
  const view = viewOf(membership);
  const key = `${leaf.dataCentre} ${leaf.service} ${leaf.leafId}`;
  const cached = view.ranks.get(key);
  if (cached !== undefined) {
    return cached;
  }
  const local = view.pools.filter((pool) => pool.dataCentre === leaf.dataCentre);
  const ranked = rankPools(local.length > 0 ? local : view.pools, key);
  view.ranks.set(key, ranked);
  return ranked;
}

function rankPools(pools: ReadonlyArray<Member>, key: string): OwnerRank {
  const byId = new Map(pools.map((pool) => [pool.memberId, pool]));
  return rendezvousRank(key, [...byId.keys()])
    .slice(0, MAX_OWNERS)
    .flatMap((memberId) => byId.get(memberId) ?? []);
}

function viewOf(membership: Membership): OwnerView {
  const cached = VIEWS.get(membership.records);
  // A pool's own state is part of the view but not of the records; the cached view must match it.
  if (
    cached !== undefined &&
    (membership.self.role !== "pool" || selfUnchanged(cached, membership))
  ) {
    return cached;
  }
  const view = { pools: aliveMembers(membership, "pool"), ranks: new Map<string, OwnerRank>() };
  VIEWS.set(membership.records, view);
  return view;
}

function selfUnchanged(view: OwnerView, { self }: Membership): boolean {
  return view.pools.some((pool) => pool.memberId === self.memberId) === (self.state === "alive");
}
