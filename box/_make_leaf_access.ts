/**
 * Makes a box's decision on which calls may go to which leafs.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import type { FleetView } from "../fleet/mod.js";
import { ColdLeafs, LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";

/** What the decision is tied to. */
export interface MakeLeafAccessOptions {
  readonly settings: BoxSettings;
  readonly nowMs: () => number;
  readonly clusterState: () => Pick<ClusterState, "evacuated" | "routes">;
  readonly view: Pick<FleetView, "coldLeafCallers">;
  readonly quarantine: Pick<Quarantine, "permission">;
}

/** The decision, and the cold leafs that it rests on. */
export interface LeafAccessSetup {
  readonly access: LeafAccess;
  readonly coldLeafs: ColdLeafs;
}

/**
 * Makes the decision.
 *
 * @param options - What it is tied to.
 * @returns The decision, and the cold leafs.
 */
export function makeLeafAccess(options: MakeLeafAccessOptions): LeafAccessSetup {
  const { clusterState: knowledge, nowMs, quarantine, settings, view } = options;
  const cold = new ColdLeafs({
    nowMs,
    box: settings.box,
    warmupTermsOf: (service) => knowledge().routes?.termsByService.get(service),
    tolerance: { factor: settings.coldOverage, slackCalls: settings.coldSlackCalls },
    callingBoxesOf: (dataCentre) => view.coldLeafCallers(dataCentre),
  });
  const access = new LeafAccess({
    routes: () => knowledge().routes,
    regionOf: (dataCentre) => settings.regions.get(dataCentre) ?? dataCentre,
    evacuated: () => knowledge().evacuated,
    coldLeafs: cold,
    quarantine,
  });
  return { access, coldLeafs: cold };
}
