/**
 * Batches calls to remote leafs into one request to a box near them. That box returns only records
 * that can still be in the result, which saves bandwidth.
 *
 * @module
 */
import { type Step, step } from "../core/mod.js";
import { recordThreshold } from "./record_threshold.js";
import type { RemoteCall, RequestContext, RequestEffect, RequestState } from "./request_state.js";

type RemoteStep = Step<RequestState, RequestEffect>;
type CallEffect = Extract<RequestEffect, { readonly kind: "call" }>;

/**
 * Replaces a step's calls to remote leafs by relay requests, one for each location. Calls to a
 * location without an available box are left unchanged.
 *
 * @param planned - The step with its calls.
 * @param context - The boxes to choose from.
 * @returns The step with relay requests in place of calls.
 */
export function batchRemoteCalls(planned: RemoteStep, context: RequestContext): RemoteStep {
  const { state, effects } = planned;
  const { target } = state.terms.route;
  if (target.kind !== "gather" || !effects.some(isRemote)) {
    return planned;
  }
  const places = groupByPlace(effects.filter(isRemote));
  const relayRequests: Array<RequestEffect> = [];
  const batched = new Set<RequestEffect>();
  const minRecord = recordThreshold(finalParts(state), target);
  for (const [place, calls] of places) {
    // These calls replace or supplement earlier ones, possibly through a box that has stalled.
    const box = context.chooseBox(place, { excludesLate: true });
    if (box !== undefined) {
      const { deadlineAtMs } = state.terms;
      const remoteCalls = calls.map((call) => toRemoteCall(state, call));
      relayRequests.push({
        kind: "relaySeparately",
        box: box.box,
        calls: remoteCalls,
        minRecord,
        deadlineAtMs,
      });
      for (const call of calls) {
        batched.add(call);
      }
    }
  }
  return step(state, ...effects.filter((effect) => !batched.has(effect)), ...relayRequests);
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

function isRemote(effect: RequestEffect): effect is CallEffect {
  return effect.kind === "call" && effect.relayPlace !== undefined;
}

function toRemoteCall(
  state: RequestState,
  { attemptId, shardIndex, leafId }: CallEffect,
): RemoteCall {
  return { attemptId, service: state.shards[shardIndex]?.service ?? "", leafId };
}

/**
 * Returns the parts that are certain to stay in the answer. A part of a shard that is also open at
 * a merging box may still be replaced by one with other records.
 */
function finalParts({ shards, relayed }: RequestState): ReadonlyArray<Buffer> {
  const direct = shards.flatMap(({ part, open }) => {
    return part === undefined || open.length > 0 ? [] : [part.body];
  });
  return [...direct, ...relayed.map(({ records }) => records)];
}
