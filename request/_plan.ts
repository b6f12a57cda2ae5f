/**
 * Plans the first calls of a request. Leafs of this data centre are called directly. Leafs of
 * another data centre or region are called through one box there, which merges their parts to save
 * bandwidth.
 *
 * @module
 */
import type { BoxChoice, LeafChoice, RequestContext, RequestState } from "./request_state.js";

/** Minimum number of shards that are called through another box. A single part needs no merging. */
const MIN_RELAYED_SHARDS = 2;

/** A leaf that is called directly. */
export interface DirectCall {
  readonly shardIndex: number;
  readonly leaf: LeafChoice;
}

/** Shards that are called through one box. */
export interface RelayCall {
  readonly box: BoxChoice;
  /** Each shard with the leaf that the box is expected to call. */
  readonly calls: ReadonlyArray<DirectCall>;
}

/** The first calls of a request. */
export interface CallPlan {
  readonly direct: ReadonlyArray<DirectCall>;
  readonly relays: ReadonlyArray<RelayCall>;
  /** Shards without any leaf that can be called. */
  readonly unserved: ReadonlyArray<number>;
}

/**
 * Plans the first calls.
 *
 * @param state - The request before anything was sent.
 * @param context - The leafs and boxes to choose from.
 * @returns The plan, which contains each shard once.
 */
export function planCalls(state: RequestState, context: RequestContext): CallPlan {
  const unserved: Array<number> = [];
  const local: Array<DirectCall> = [];
  const remote: Array<RemoteShard> = [];
  state.shards.forEach((shard, shardIndex) => {
    const leaf = context.chooseLeaf(shard.service, shard.calledLeafIds, { isFirst: true });
    if (leaf === undefined) {
      unserved.push(shardIndex);
    } else if (leaf.relayPlace === undefined) {
      local.push({ shardIndex, leaf });
    } else {
      remote.push({ shardIndex, choices: remoteChoices(leaf, shard.service, context) });
    }
  });
  const direct = local;
  const relays: Array<RelayCall> = [];
  for (const [place, calls] of groupByPlace(remote)) {
    const box = calls.length < MIN_RELAYED_SHARDS ? undefined : context.chooseBox(place);
    if (box === undefined) {
      direct.push(...calls);
    } else {
      relays.push({ box, calls });
    }
  }
  return { direct, relays, unserved };
}

/** A shard that is better called through a box elsewhere, and its candidate leafs, best first. */
interface RemoteShard {
  readonly shardIndex: number;
  readonly choices: ReadonlyArray<LeafChoice>;
}

/**
 * Maximum slowdown, as a factor of the best leaf's expected time, at which another leaf is
 * preferred for its location. Calls to fewer locations need less bandwidth between regions.
 */
const MAX_SLOWDOWN_FACTOR = 1.5;

function remoteChoices(
  best: LeafChoice,
  service: string,
  context: RequestContext,
): ReadonlyArray<LeafChoice> {
  const second = context.chooseLeaf(service, new Set([best.leafId]));
  const isComparable =
    second?.relayPlace !== undefined && second.expectedMs <= best.expectedMs * MAX_SLOWDOWN_FACTOR;
  return isComparable ? [best, second] : [best];
}

/**
 * Groups shards by location. A shard with leafs in several locations joins the one that most other
 * shards use.
 */
function groupByPlace(
  remote: ReadonlyArray<RemoteShard>,
): ReadonlyMap<string, ReadonlyArray<DirectCall>> {
  const scores = new Map<string, number>();
  for (const { choices } of remote) {
    for (const { relayPlace = "", expectedMs } of choices) {
      scores.set(relayPlace, (scores.get(relayPlace) ?? 0) + 1 / Math.max(1, expectedMs));
    }
  }
  const [mainPlace] = [...scores].sort(([, a], [, b]) => b - a)[0] ?? [];
  const groups = new Map<string, Array<DirectCall>>();
  for (const { shardIndex, choices } of remote) {
    const leaf = choices.find(({ relayPlace }) => relayPlace === mainPlace) ?? choices[0];
    if (leaf?.relayPlace !== undefined) {
      const group = groups.get(leaf.relayPlace) ?? [];
      groups.set(leaf.relayPlace, [...group, { shardIndex, leaf }]);
    }
  }
  return groups;
}
