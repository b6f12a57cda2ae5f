/**
 * Changes of leaf state caused by probes, the box list and configuration, reported to all entries.
 *
 * @module
 */
import type { Leaf } from "../catalog/mod.js";
import { ownersOf } from "../control/mod.js";
import { forEachStep, step } from "../core/mod.js";
import { CONDITION_REASONS, initialLeafState, isBoxLeaving, leafKeyOf } from "./call_admission.js";
import { endFlight, putLeaf } from "./flights.js";
import {
  applySignal,
  conditionChangeLog,
  recordFailedProbe,
  reportLeaf,
  setCondition,
} from "./leaf_condition.js";
import type { PoolEffect, PoolEvent } from "./pool_messages.js";
import type { LeafState, PoolState, PoolStep } from "./pool_state.js";

/**
 * Applies changed leaf settings, and drains leafs on boxes that the box list marks as leaving.
 *
 * @param state - State of the pool.
 * @param nowMs - Current time, in milliseconds.
 * @returns The new state and the effects.
 */
export function applyCatalog(state: PoolState, nowMs: number): PoolStep {
  const { services, boxList } = state.control.catalog;
  const leaving = new Set(boxList.boxes.filter((box) => box.leaving).map((box) => box.box));
  return forEachStep(
    step<PoolState, PoolEffect>(state),
    state.leafs.values(),
    (next, { leafKey: key, leaf: previous }) => {
      const leaf = services.get(previous.service)?.leafs.get(previous.leafId) ?? previous;
      const current = next.leafs.get(key);
      if (current === undefined) {
        return step(next);
      }
      const updated = { ...current, leaf };
      return leaving.has(leaf.box)
        ? updateLeaf(next, current, setCondition(updated, "draining", nowMs))
        : step(putLeaf(next, updated));
    },
  );
}

/**
 * Sends the reports of unavailable leafs to all entries again. Entries let reports expire, so that a
 * stopped pool does not keep a leaf unavailable.
 *
 * @param state - State of the pool.
 * @returns The state and the effects.
 */
export function resendReports(state: PoolState): PoolStep {
  const reports = [...state.leafs.values()]
    .filter((leaf) => leaf.condition !== "ready")
    .map(reportLeaf);
  const replies = [...state.entries].map((entryId) => {
    return { kind: "reply", entryId, results: [], reports } as const;
  });
  return reports.length === 0 ? step(state) : step<PoolState, PoolEffect>(state, ...replies);
}

/**
 * Probes the leafs that this pool owns or uses.
 *
 * @param state - State of the pool.
 * @returns The state and the effects.
 */
export function probeLeafs(state: PoolState): PoolStep {
  const { self } = state.control.membership;
  const probed: Array<Leaf> = [];
  for (const service of state.control.catalog.services.values()) {
    for (const leaf of service.leafs.values()) {
      const inUse = state.leafs.has(leafKeyOf(leaf.service, leaf.leafId));
      const isOwner = ownersOf(state.control.membership, leaf)[0]?.memberId === self.memberId;
      if (inUse || isOwner) {
        probed.push(leaf);
      }
    }
  }
  return probed.length === 0
    ? step(state)
    : step<PoolState, PoolEffect>(state, { kind: "probeLeafs", leafs: probed });
}

/**
 * Applies the result of a leaf probe.
 *
 * @param state - State of the pool.
 * @param event - The leaf and its signal, if it answered.
 * @returns The new state and the effects.
 */
export function onLeafProbed(
  state: PoolState,
  { leafKey: key, signal, nowMs }: Extract<PoolEvent, { readonly kind: "leafProbed" }>,
): PoolStep {
  const [service = "", leafId = ""] = key.split(" ");
  const leaf = state.control.catalog.services.get(service)?.leafs.get(leafId);
  const tracked = state.leafs.get(key);
  const current =
    tracked ?? (leaf === undefined ? undefined : initialLeafState(state, key, leaf, nowMs));
  if (current === undefined) {
    return step(state);
  }
  const effectiveSignal = isBoxLeaving(state, current.leaf) ? "draining" : signal;
  const probed =
    effectiveSignal === undefined
      ? recordFailedProbe(current, nowMs)
      : applySignal(current, effectiveSignal, nowMs);
  return updateLeaf(state, tracked ?? { ...current, condition: "ready" }, probed);
}

/**
 * Stores the new state of a leaf. If its condition changed, reports it to all entries immediately;
 * if it is no longer ready, also refuses its queued calls without running them.
 *
 * @param state - State of the pool.
 * @param before - Previous state of the leaf.
 * @param after - New state of the leaf.
 * @returns The new state and the effects.
 */
export function updateLeaf(state: PoolState, before: LeafState, after: LeafState): PoolStep {
  if (before.condition === after.condition) {
    return step(putLeaf(state, after));
  }
  const queue = after.condition === "ready" ? after.queue : [];
  const changed = { ...after, queue };
  const reports = [reportLeaf(changed)];
  const replies = [...state.entries].map((entryId) => {
    return { kind: "reply", entryId, results: [], reports } as const;
  });
  const updated = step<PoolState, PoolEffect>(
    putLeaf(state, changed),
    conditionChangeLog(after),
    ...replies,
  );
  if (after.condition === "ready") {
    return updated;
  }
  const reason = CONDITION_REASONS[after.condition];
  return forEachStep(updated, before.queue, (next, flightId) => {
    const flight = next.flights.get(flightId);
    return flight === undefined
      ? step(next)
      : endFlight(next, flight, { kind: "refused", reason, retryAfterMs: 0 });
  });
}
