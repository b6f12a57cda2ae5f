/**
 * Selects the leaf for the next call of a shard.
 *
 * @module
 */
import type { LeafChoice, RequestContext, RequestState, ShardState } from "./request_state.js";

/**
 * Refusals of a shard after which leafs that refused it are not called again. A leaf that refuses
 * almost half of its calls at random has almost always accepted one by then.
 */
export const MAX_REFUSALS = 4;

/**
 * Selects the leaf for the next call of a shard.
 *
 * @param state - The request.
 * @param shard - The shard.
 * @param context - The leafs to choose from.
 * @returns A leaf that has not been called, one that refused, or `undefined` if there is neither.
 */
export function chooseNextLeaf(
  state: RequestState,
  shard: ShardState,
  context: RequestContext,
): LeafChoice | undefined {
  return chooseUncalledLeaf(shard, context) ?? chooseRefusingLeaf(state, shard, context);
}

/**
 * Returns whether no leaf or box has been called for a shard. A replacement for a call that was not
 * sent is no first call, as the end of the former call does not tell whether it was counted.
 *
 * @param shard - The shard.
 * @returns Whether its next call is its first.
 */
export function isUncalled({ calledLeafIds, expectedRelayLeafId }: ShardState): boolean {
  return calledLeafIds.size === 0 && expectedRelayLeafId === undefined;
}

/**
 * Selects a leaf that has not been called. The leaf that a relaying box was expected to call is
 * selected only if no other is left.
 */
function chooseUncalledLeaf(shard: ShardState, context: RequestContext): LeafChoice | undefined {
  const { service, calledLeafIds, expectedRelayLeafId } = shard;
  if (expectedRelayLeafId === undefined) {
    return context.chooseLeaf(service, calledLeafIds, { isFirst: isUncalled(shard) });
  }
  const uncalled = context.chooseLeaf(service, new Set(calledLeafIds).add(expectedRelayLeafId));
  return uncalled ?? context.chooseLeaf(service, calledLeafIds);
}

/**
 * Selects a leaf that refused an earlier call if no other is left, since a missing shard can make
 * the whole query fail. Requests to a single leaf are refused immediately instead, as nothing has
 * run for them.
 */
function chooseRefusingLeaf(
  { terms }: RequestState,
  { calledLeafIds, refusedBy, service }: ShardState,
  context: RequestContext,
): LeafChoice | undefined {
  const mayNotRetry = refusedBy.length === 0 || refusedBy.length >= MAX_REFUSALS;
  if (mayNotRetry || terms.route.target.kind !== "gather") {
    return undefined;
  }
  const excluded = [...calledLeafIds].filter((leafId) => !refusedBy.includes(leafId));
  return context.chooseLeaf(service, new Set(excluded));
}
