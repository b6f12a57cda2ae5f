/**
 * Taking in objects: in force at once where newer, and told to others.
 *
 * @module
 */
import { applyObjects, objectKey } from "../catalog/mod.js";
import { andThen, invariantBroken, logInfo, step } from "../core/mod.js";
import type { BoxList, CatalogObject } from "../model/mod.js";
import type { ControlEffect } from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import { passOn, revisionOf } from "./make_exchange.js";

/** Turns a box list into a catalog object, so that it travels as the configuration does. */
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

interface TakeInOptions {
  readonly nowMs: number;
  readonly source: "platform" | "peer" | "submission";
}

/**
 * Takes in objects and tells others of those that were newer.
 *
 * @param state - The control state.
 * @param objects - Objects, already checked.
 * @param options - The present moment, and where they came from.
 * @returns The step.
 */
export function takeIn(
  state: ControlState,
  objects: ReadonlyArray<CatalogObject>,
  { nowMs, source }: TakeInOptions,
): ControlStep {
  const { catalog, adopted } = applyObjects(state.catalog, objects);
  if (adopted.length === 0) {
    return step(state);
  }
  const fetching = state.fetching.deleteAll(adopted.map((object) => revisionOf(object).key));
  const next = noteListed({ ...state, catalog, fetching }, nowMs);
  const wentBack = adopted.filter((object) => {
    const held = state.catalog.objects.get(objectKey(object.kind, object.name));
    return held !== undefined && held.revision >= object.revision;
  });
  const broken = wentBack.flatMap(({ kind, name, revision }) =>
    invariantBroken("revisions go up", { kind, name, revision }),
  );
  const logs = adopted.map((object) =>
    logInfo("catalog", `put ${object.kind} ${object.name} in force`, {
      revision: object.revision,
      source,
    }),
  );
  return andThen(step<ControlState, ControlEffect>(next, ...broken, ...logs), (told) =>
    passOn(told, adopted, nowMs),
  );
}

function noteListed(state: ControlState, nowMs: number): ControlState {
  const { box } = state.membership.self;
  const listed = state.catalog.boxList.boxes.some((entry) => entry.box === box);
  return listed && state.listedAtMs === Number.POSITIVE_INFINITY
    ? { ...state, listedAtMs: nowMs }
    : state;
}
