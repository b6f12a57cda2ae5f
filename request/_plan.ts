/**
 * Plans the first calls of a request: leafs near this box directly, those of another region through
 * one box there, which merges, so that few bytes pass between regions.
 *
 * @module
 */
import type { BoxChoice, LeafChoice, RequestState, RequestWorld } from "./request_state.js";

/** Fewest shards that are asked through another box; for one alone there is nothing to merge. */
const LEAST_RELAYED = 2;

/** A leaf that is asked directly. */
export interface DirectCall {
  readonly shardIndex: number;
  readonly leaf: LeafChoice;
}

/** Shards that are asked through one box. */
export interface RelayCall {
  readonly box: BoxChoice;
  /** Each shard with the leaf that the box is expected to ask. */
  readonly calls: ReadonlyArray<DirectCall>;
}

/** The first calls of a request. */
export interface CallPlan {
  readonly direct: ReadonlyArray<DirectCall>;
  readonly relays: ReadonlyArray<RelayCall>;
  /** Shards that no leaf can be asked for. */
  readonly unserved: ReadonlyArray<number>;
}

/**
 * Plans the first calls.
 *
 * @param state - The request before anything was sent.
 * @param world - What the box can choose from.
 * @returns The plan; each shard stands in it once.
 */
export function planCalls(state: RequestState, world: RequestWorld): CallPlan {
  const unserved: Array<number> = [];
  const near: Array<DirectCall> = [];
  const far = new Map<string, Array<DirectCall>>();
  state.shards.forEach((shard, shardIndex) => {
    const leaf = world.chooseLeaf(shard.service, shard.asked);
    if (leaf === undefined) {
      unserved.push(shardIndex);
    } else if (leaf.farRegion === undefined) {
      near.push({ shardIndex, leaf });
    } else {
      far.set(leaf.farRegion, [...(far.get(leaf.farRegion) ?? []), { shardIndex, leaf }]);
    }
  });
  const direct = near;
  const relays: Array<RelayCall> = [];
  for (const [region, calls] of far) {
    const box = calls.length < LEAST_RELAYED ? undefined : world.chooseBox(region);
    if (box === undefined) {
      direct.push(...calls);
    } else {
      relays.push({ box, calls });
    }
  }
  return { direct, relays, unserved };
}
