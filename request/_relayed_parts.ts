/**
 * Applies parts that another box has merged.
 *
 * @module
 */
import type { RelayedParts, RequestState } from "./request_state.js";

/**
 * Adds parts that another box has merged. Merged parts cannot be separated, so they replace a part
 * of the same shard that was received directly.
 *
 * @param state - The request.
 * @param parts - The parts.
 * @returns The updated request.
 */
export function applyRelayedParts(state: RequestState, parts: RelayedParts): RequestState {
  const wasRelayed = state.shards.some(({ service, relayed }) => {
    return relayed && parts.signatures.has(service);
  });
  if (wasRelayed || parts.signatures.size === 0) {
    return state;
  }
  let { partsIn, partsLost } = state;
  const shards = state.shards.map((shard) => {
    if (!parts.signatures.has(shard.service)) {
      return shard;
    }
    partsIn += shard.part === undefined ? 1 : 0;
    partsLost -= shard.failed ? 1 : 0;
    return { ...shard, relayed: true, part: undefined, failed: false };
  });
  return { ...state, shards, partsIn, partsLost, relayed: [...state.relayed, parts] };
}
