/**
 * The part of a daemon's report for operators that only pools have.
 *
 * @module
 */
import { ownersOf } from "../control/mod.js";
import type { PoolState } from "./pool_state.js";

/**
 * Reports the leafs of a pool.
 *
 * @param state - State of the pool.
 * @returns Its leafs, those of them that are unavailable, and the number of open calls.
 */
export function reportPool(state: PoolState): object {
  const { membership, catalog } = state.control;
  const owned = [...catalog.services.values()].flatMap((service) =>
    [...service.leafs.values()].filter((leaf) => {
      return ownersOf(membership, leaf)[0]?.memberId === membership.self.memberId;
    }),
  );
  return {
    ownedLeafs: owned.map((leaf) => `${leaf.service} ${leaf.leafId}`),
    unavailableLeafs: [...state.leafs.values()]
      .filter((leaf) => leaf.condition !== "ready")
      .map((leaf) => ({ leaf: leaf.leafKey, condition: leaf.condition })),
    flights: state.flights.size,
  };
}
