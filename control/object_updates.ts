/**
 * Applies objects that are newer than the stored ones, and gossips them.
 *
 * @module
 */
import { applyObjects, objectKey } from "../catalog/mod.js";
import { andThen, invariantBroken, logInfo, step } from "../core/mod.js";
import type { BoxList, CatalogObject } from "../model/mod.js";
import type { ControlEffect } from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import { gossip, revisionOf } from "./gossip.js";

/** Converts a box list to a catalog object, so that it is distributed like the configuration. */
export function boxListObject(boxList: BoxList): CatalogObject {
  const { version } = boxList;
  return {
    kind: "boxlist",
    name: "boxes",
    revision: version,
    deleted: false,
    history: [],
    value: boxList,
  };
}

interface ApplyOptions {
  readonly nowMs: number;
  readonly source: "platform" | "peer" | "submission";
}

/**
 * Applies the objects that are newer and gossips them to other daemons.
 *
 * @param state - The control state.
 * @param objects - Validated objects.
 * @param options - The current time, and the source of the objects.
 * @returns The step.
 */
export function applyAndGossip(
  state: ControlState,
  objects: ReadonlyArray<CatalogObject>,
  { nowMs, source }: ApplyOptions,
): ControlStep {
  const { catalog, adopted } = applyObjects(state.catalog, objects);
  if (adopted.length === 0) {
    return step(state);
  }
  const fetching = state.fetching.deleteAll(adopted.map((object) => revisionOf(object).key));
  const next = recordListing({ ...state, catalog, fetching }, nowMs);
  const regressed = adopted.filter((object) => {
    const previous = state.catalog.objects.get(objectKey(object.kind, object.name));
    return previous !== undefined && previous.revision >= object.revision;
  });
  const violations = regressed.flatMap(({ kind, name, revision }) =>
    invariantBroken("revisions go up", { kind, name, revision }),
  );
  const logs = adopted.map((object) =>
    logInfo("catalog", `applied ${object.kind} ${object.name}`, {
      revision: object.revision,
      source,
    }),
  );
  return andThen(step<ControlState, ControlEffect>(next, ...violations, ...logs), (applied) =>
    gossip(applied, adopted, nowMs),
  );
}

function recordListing(state: ControlState, nowMs: number): ControlState {
  const { box } = state.membership.self;
  const listed = state.catalog.boxList.boxes.some((entry) => entry.box === box);
  return listed && state.listedAtMs === Number.POSITIVE_INFINITY
    ? { ...state, listedAtMs: nowMs }
    : state;
}
