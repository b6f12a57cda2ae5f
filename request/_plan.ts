/**
 * Plans the first calls of a request: leafs near this box directly, those of another data centre or
 * region through one box there, which merges, so that few bytes pass between them.
 *
 * @module
 */
import type { BoxChoice, LeafChoice, RequestContext, RequestState } from "./request_state.js";

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
export function planCalls(state: RequestState, world: RequestContext): CallPlan {
  const unserved: Array<number> = [];
  const near: Array<DirectCall> = [];
  const far: Array<FarShard> = [];
  state.shards.forEach((shard, shardIndex) => {
    const leaf = world.chooseLeaf(shard.service, shard.calledLeafIds);
    if (leaf === undefined) {
      unserved.push(shardIndex);
    } else if (leaf.relayPlace === undefined) {
      near.push({ shardIndex, leaf });
    } else {
      far.push({ shardIndex, choices: farChoices(leaf, shard.service, world) });
    }
  });
  const direct = near;
  const relays: Array<RelayCall> = [];
  for (const [place, calls] of gatherByPlace(far)) {
    const box = calls.length < LEAST_RELAYED ? undefined : world.chooseBox(place);
    if (box === undefined) {
      direct.push(...calls);
    } else {
      relays.push({ box, calls });
    }
  }
  return { direct, relays, unserved };
}

/** A shard without a leaf near, and the leafs that come into question, best first. */
interface FarShard {
  readonly shardIndex: number;
  readonly choices: ReadonlyArray<LeafChoice>;
}

/**
 * How much slower than the best one a leaf may be, as a factor, to be asked for the sake of its
 * region: fewer boxes asked are fewer bytes between regions.
 */
const MOST_SLOWER = 1.5;

function farChoices(
  best: LeafChoice,
  service: string,
  world: RequestContext,
): ReadonlyArray<LeafChoice> {
  const second = world.chooseLeaf(service, new Set([best.leafId]));
  const isEqual =
    second?.relayPlace !== undefined && second.expectedMs <= best.expectedMs * MOST_SLOWER;
  return isEqual ? [best, second] : [best];
}

/** Puts shards that can go to several places where the most of the others go. */
function gatherByPlace(
  far: ReadonlyArray<FarShard>,
): ReadonlyMap<string, ReadonlyArray<DirectCall>> {
  const scores = new Map<string, number>();
  for (const { choices } of far) {
    for (const { relayPlace = "", expectedMs } of choices) {
      scores.set(relayPlace, (scores.get(relayPlace) ?? 0) + 1 / Math.max(1, expectedMs));
    }
  }
  const [main] = [...scores].sort(([, a], [, b]) => b - a)[0] ?? [];
  const groups = new Map<string, Array<DirectCall>>();
  for (const { shardIndex, choices } of far) {
    const leaf = choices.find(({ relayPlace }) => relayPlace === main) ?? choices[0];
    if (leaf?.relayPlace !== undefined) {
      const group = groups.get(leaf.relayPlace) ?? [];
      groups.set(leaf.relayPlace, [...group, { shardIndex, leaf }]);
    }
  }
  return groups;
}
