/**
 * Sends calls to leafs elsewhere through one box near them: it sends back only the records that
 * can still be among the greatest, which is a fraction of a part's bytes.
 *
 * @module
 */
import { type Step, step } from "../core/mod.js";
import { recordThreshold } from "./record_threshold.js";
import type { RemoteCall, RequestContext, RequestEffect, RequestState } from "./request_state.js";

type FarStep = Step<RequestState, RequestEffect>;
type CallEffect = Extract<RequestEffect, { readonly kind: "call" }>;

/**
 * Turns the calls to leafs elsewhere in a step into orders to boxes near them, one a place. Calls to a
 * place without a box to rely on stay as they are.
 *
 * @param made - The step with its calls.
 * @param world - What the box can choose from.
 * @returns The step with orders in place of calls.
 */
export function batchRemoteCalls(made: FarStep, world: RequestContext): FarStep {
  const { state, effects } = made;
  const { target } = state.terms.route;
  if (target.kind !== "gather" || !effects.some(isFar)) {
    return made;
  }
  const places = groupByPlace(effects.filter(isFar));
  const orders: Array<RequestEffect> = [];
  const bundled = new Set<RequestEffect>();
  const leastRecord = recordThreshold(lastingParts(state), target);
  for (const [place, calls] of places) {
    const box = world.chooseBox(place);
    if (box !== undefined) {
      const { deadlineAtMs } = state.terms;
      const far = calls.map((call) => farCall(state, call));
      orders.push({
        kind: "askThrough",
        box: box.box,
        calls: far,
        minRecord: leastRecord,
        deadlineAtMs,
      });
      for (const call of calls) {
        bundled.add(call);
      }
    }
  }
  return step(state, ...effects.filter((effect) => !bundled.has(effect)), ...orders);
}

function groupByPlace(
  calls: ReadonlyArray<CallEffect>,
): ReadonlyMap<string, ReadonlyArray<CallEffect>> {
  const places = new Map<string, Array<CallEffect>>();
  for (const call of calls) {
    const place = call.relayPlace ?? "";
    places.set(place, [...(places.get(place) ?? []), call]);
  }
  return places;
}

function isFar(effect: RequestEffect): effect is CallEffect {
  return effect.kind === "call" && effect.relayPlace !== undefined;
}

function farCall(state: RequestState, { attemptId, shardIndex, leafId }: CallEffect): RemoteCall {
  return { attemptId, service: state.shards[shardIndex]?.service ?? "", leafId };
}

/**
 * Parts that stay in the answer whatever comes: a part of a shard that is also asked for through a
 * box that merges may yet be replaced, by one with other records.
 */
function lastingParts({ shards, relayed }: RequestState): ReadonlyArray<Buffer> {
  const own = shards.flatMap(({ part, open }) => {
    return part === undefined || open.length > 0 ? [] : [part.body];
  });
  return [...own, ...relayed.map(({ records }) => records)];
}
