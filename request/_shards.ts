/**
 * Updates to the shards of a request.
 *
 * @module
 */
import type { Attempt, RequestState, ShardState } from "./request_state.js";

/**
 * Returns whether no further call can change a shard.
 *
 * @param shard - The shard.
 * @returns Whether its part has been received or it has failed.
 */
export function isSettled({ part, relayed, failed }: ShardState): boolean {
  return part !== undefined || relayed || failed;
}

/**
 * Lists the shards of an attempt: one for a call to a leaf, possibly several for a merging box.
 *
 * @param state - The request.
 * @param attemptId - The attempt.
 * @returns Indices of the shards.
 */
export function shardsOf(state: RequestState, attemptId: number): ReadonlyArray<number> {
  return [...state.shards.keys()].filter((index) => {
    return state.shards[index]?.open.some((attempt) => attempt.attemptId === attemptId);
  });
}

/**
 * Lists the open attempts.
 *
 * @param state - The request.
 * @returns The ids, without duplicates.
 */
export function openAttemptsOf({ shards }: RequestState): ReadonlyArray<number> {
  return [...new Set(shards.flatMap(({ open }) => open.map(({ attemptId }) => attemptId)))];
}

/** An attempt to be opened. */
export interface OpenedAttempt {
  readonly shardIndex: number;
  readonly attempt: Attempt;
  /** Leaf that is called directly; `undefined` if a box selects it. */
  readonly calledLeafId?: string;
  /** Leaf that a box is expected to call. */
  readonly expectedRelayLeafId?: string;
}

/**
 * Opens an attempt for a shard.
 *
 * @param state - The request.
 * @param opened - The attempt and its shard.
 * @returns The updated request.
 */
export function openAttempt(
  state: RequestState,
  { shardIndex, attempt, calledLeafId, expectedRelayLeafId }: OpenedAttempt,
): RequestState {
  return updateShard(state, shardIndex, (shard) => ({
    ...shard,
    runs: shard.runs + 1,
    open: [...shard.open, attempt],
    next: undefined,
    calledLeafIds:
      calledLeafId === undefined
        ? shard.calledLeafIds
        : new Set(shard.calledLeafIds).add(calledLeafId),
    expectedRelayLeafId: expectedRelayLeafId ?? shard.expectedRelayLeafId,
  }));
}

/**
 * Closes an attempt for a shard.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @param attemptId - The attempt.
 * @returns The updated request.
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
 * Marks a shard as failed.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @returns The updated request.
 */
export function failShard(state: RequestState, shardIndex: number): RequestState {
  const failed = updateShard(state, shardIndex, (shard) => {
    return { ...shard, failed: true, next: undefined };
  });
  return { ...failed, partsLost: state.partsLost + 1 };
}

/**
 * Updates one shard.
 *
 * @param state - The request.
 * @param shardIndex - The shard.
 * @param change - Returns the updated shard.
 * @returns The updated request.
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
