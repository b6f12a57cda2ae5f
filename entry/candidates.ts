/**
 * Selection of the leaf and the pool for a call.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { ownersOf } from "../control/mod.js";
import { countAlive } from "../membership/mod.js";
import type { EntryState, Fetch } from "./entry_state.js";
import { acceptsCalls, type Candidate, chooseLeaf, predictMs, UNKNOWN_LEAF } from "./leaf_view.js";

/**
 * Builds the key that identifies a leaf across services.
 *
 * @param service - The service.
 * @param leafId - The leaf within it.
 * @returns The key.
 */
export function leafKey(service: string, leafId: string): string {
  return `${service} ${leafId}`;
}

/**
 * Lists the leafs that can receive a call for a shard.
 *
 * @param state - The entry's state.
 * @param fetch - Service and replicas of the shard.
 * @param nowMs - Current time, in milliseconds.
 * @returns Available leafs; ejected ones only if there are no others.
 */
export function candidatesOf(
  state: EntryState,
  fetch: Pick<Fetch, "service" | "leafIds">,
  nowMs: number,
): ReadonlyArray<Candidate> {
  const service = state.control.catalog.services.get(fetch.service);
  const entries = countAlive(state.control.membership, "entry");
  const all: Array<Candidate> = [];
  for (const leafId of fetch.leafIds) {
    const leaf = service?.leafs.get(leafId);
    const view = state.leafViews.get(leafKey(fetch.service, leafId)) ?? UNKNOWN_LEAF;
    if (leaf !== undefined && acceptsCalls(view, nowMs)) {
      all.push({ leaf, view, predictedMs: predictMs(view, leaf, { nowMs, entries }) });
    }
  }
  const healthy = all.filter((candidate) => candidate.view.ejectedUntilMs <= nowMs);
  return healthy.length > 0 ? healthy : all;
}

/** Leaf and pool that a call goes to. */
export interface Target {
  readonly leaf: Leaf;
  readonly poolId: string;
}

/** Chooses leaf and pool for the next attempt; prefers leafs that have not been tried. */
export function chooseTarget(state: EntryState, fetch: Fetch, nowMs: number): Target | undefined {
  const candidates = candidatesOf(state, fetch, nowMs);
  const tried = new Set(fetch.attempts.map((attempt) => attempt.leafId));
  const untried = candidates.filter((candidate) => !tried.has(candidate.leaf.leafId));
  const chosen = chooseLeaf(untried.length > 0 ? untried : candidates, fetch.placement, {
    affinityKey: fetch.shareKey === "" ? fetch.fetchId : fetch.shareKey,
    dataCentre: state.control.membership.self.dataCentre,
  });
  if (chosen === undefined) {
    return undefined;
  }
  const poolId = choosePool(state, chosen.leaf);
  return poolId === undefined ? undefined : { leaf: chosen.leaf, poolId };
}

/** Selects the leaf's owner, or the next pool in rank while the owner is unresponsive. */
function choosePool(state: EntryState, leaf: Leaf): string | undefined {
  const open = ownersOf(state.control.membership, leaf)
    .map((pool) => pool.memberId)
    .filter((poolId) => state.openPools.has(poolId));
  const isResponsive = (poolId: string) => !state.unresponsivePools.has(poolId);
  return (
    open.find(isResponsive) ??
    state.openPools.find(isResponsive) ??
    open[0] ??
    state.openPools.first()
  );
}
