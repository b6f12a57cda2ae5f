/**
 * Makes a box's decision on which calls may go to which leafs.
 *
 * @module
 */
import type { FleetView } from "../fleet/mod.js";
import type { BoxKnowledge } from "../knowledge/mod.js";
import { ColdLeafs, LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";

/** What the decision is tied to. */
export interface MakeLeafAccessOptions {
  readonly settings: BoxSettings;
  readonly nowMs: () => number;
  readonly knowledge: () => Pick<BoxKnowledge, "evacuated" | "routes">;
  readonly view: Pick<FleetView, "callersOfCold">;
  readonly quarantine: Pick<Quarantine, "calling">;
}

/** The decision, and the cold leafs that it rests on. */
export interface MadeLeafAccess {
  readonly access: LeafAccess;
  readonly cold: ColdLeafs;
}

/**
 * Makes the decision.
 *
 * @param options - What it is tied to.
 * @returns The decision, and the cold leafs.
 */
export function makeLeafAccess(options: MakeLeafAccessOptions): MadeLeafAccess {
  const { knowledge, nowMs, quarantine, settings, view } = options;
  const cold = new ColdLeafs({
    nowMs,
    box: settings.box,
    termsOf: (service) => knowledge().routes?.termsByService.get(service),
    tolerance: { factor: settings.coldOverage, slackCalls: settings.coldSlackCalls },
    callersOf: (dataCentre) => view.callersOfCold(dataCentre),
  });
  const access = new LeafAccess({
    routes: () => knowledge().routes,
    regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
    evacuated: () => knowledge().evacuated,
    cold,
    quarantine,
  });
  return { access, cold };
}
