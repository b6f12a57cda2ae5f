/**
 * Creates the check of which calls a box may send to which leafs.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import type { FleetView } from "../fleet/mod.js";
import { ColdLeafs, LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { VersionAccess } from "../rollouts/mod.js";

/** Options of {@link makeLeafAccess}. */
export interface MakeLeafAccessOptions {
  readonly settings: BoxSettings;
  readonly nowMs: () => number;
  readonly clusterState: () => Pick<ClusterState, "evacuated" | "routes">;
  readonly view: Pick<FleetView, "coldLeafCallers">;
  readonly quarantine: Pick<Quarantine, "permission">;
  readonly versions: VersionAccess;
}

/** The access check and the cold leafs that it consults. */
export interface LeafAccessSetup {
  readonly access: LeafAccess;
  readonly coldLeafs: ColdLeafs;
}

/**
 * Creates the access check.
 *
 * @param options - State that the check reads.
 * @returns The access check and the cold leafs that it consults.
 */
export function makeLeafAccess(options: MakeLeafAccessOptions): LeafAccessSetup {
  const { clusterState, nowMs, quarantine, settings, versions, view } = options;
  const regionOf = (dataCentre: string): string => settings.regions.get(dataCentre) ?? dataCentre;
  const coldLeafs = new ColdLeafs({
    nowMs,
    box: settings.box,
    warmupTermsOf: (service) => clusterState().routes?.termsByService.get(service),
    tolerance: { factor: settings.coldOverage, slackCalls: settings.coldSlackCalls },
    callingBoxesOf: (dataCentre) => view.coldLeafCallers(dataCentre),
  });
  const access = new LeafAccess({
    routes: () => clusterState().routes,
    regionOf,
    evacuated: () => clusterState().evacuated,
    coldLeafs,
    quarantine,
    versions,
    isRemote: ({ dataCentre }) => regionOf(dataCentre) !== regionOf(settings.dataCentre),
  });
  return { access, coldLeafs };
}
