/**
 * Changes to the shards of a request.
 *
 * @module
 */
import type { Attempt, RequestState, ShardState } from "./request_state.js";

/**
 * Tells whether nothing more is to be got for a shard.
 *
 * @param shard - The shard.
 * @returns Whether its part is in or it is lost.
 */
export function isSettled({ part, relayed, failed: lost }: ShardState): boolean {
  return part !== undefined || relayed || lost;
}

/**
 * Lists the shards that an attempt is for: one for a leaf, several for a box that merges.
 *
 * @param state - The request.
 * @param attemptId - The attempt.
 * @returns Their places among the request's shards.
 */
export function shardsOf(state: RequestState, attemptId: number): ReadonlyArray<number> {
  return [...state.shards.keys()].filter((index) => {
    return state.shards[index]?.open.some((attempt) => attempt.attemptId === attemptId);
  });
}

/**
 * Lists the attempts that have not ended.
 *
 * @param state - The request.
 * @returns Each once, also one that is for several shards.
 */
export function openAttemptsOf({ shards }: RequestState): ReadonlyArray<number> {
  return [...new Set(shards.flatMap(({ open }) => open.map(({ attemptId }) => attemptId)))];
}

/** An attempt that begins. */
export interface OpenedAttempt {
  readonly shardIndex: number;
  readonly attempt: Attempt;
  /** Leaf that is asked directly; nothing where a box picks it. */
  readonly calledLeafId?: string;
  /** Leaf that a box is expected to ask. */
  readonly expectedRelayLeafId?: string;
}

/**
 * Notes that an attempt has begun.
 *
 * @param state - The request.
 * @param opened - The attempt and its shard.
 * @returns The request after that.
 */
export function openAttempt(
  state: RequestState,
  {
    shardIndex,
    attempt,
    calledLeafId: askedLeaf,
    expectedRelayLeafId: expectedOfBox,
  }: OpenedAttempt,
): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    runs: shard.runs + 1,
    open: [...shard.open, attempt],
    next: undefined,
    calledLeafIds:
      askedLeaf === undefined ? shard.calledLeafIds : new Set(shard.calledLeafIds).add(askedLeaf),
    expectedRelayLeafId: expectedOfBox ?? shard.expectedRelayLeafId,
  }));
}

/**
 * Notes that an attempt has ended for a shard.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @param attemptId - The attempt.
 * @returns The request after that.
 */
export function endAttempt(
  state: RequestState,
  shardIndex: number,
  attemptId: number,
): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    open: shard.open.filter((attempt) => attempt.attemptId !== attemptId),
  }));
}

/**
 * Notes that nothing more can be got for a shard.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @returns The request after that.
 */
export function failShard(state: RequestState, shardIndex: number): RequestState {
  const lost = updateShard(state, shardIndex, (shard) => {
    return { ...shard, failed: true, next: undefined };
  });
  return { ...lost, partsLost: state.partsLost + 1 };
}

/**
 * Changes one shard.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @param change - Makes the changed shard.
 * @returns The request after that.
 */
export function updateShard(
  state: RequestState,
  shardIndex: number,
  change: (shard: ShardState) => ShardState,
): RequestState {
  const shard = state.shards[shardIndex];
  return shard === undefined
    ? state
    : { ...state, shards: state.shards.with(shardIndex, change(shard)) };
}
