/**
 * Creates the parts of a box through which the calls of requests reach leafs, directly or through
 * other boxes.
 *
 * @module
 */
import { LeafCalls } from "../calls/mod.js";
import { nowMs } from "../clock/mod.js";
import type { ClusterState } from "../cluster_state/mod.js";
import type { ExtraCallBudgets } from "../extra_calls/mod.js";
import { type FleetView, RelayPlaces } from "../fleet/mod.js";
import { eventLoopIdleMs } from "../latency/mod.js";
import type { ColdLeafs, LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { RelayCalls } from "../relay/mod.js";
import type { VersionAccess } from "../rollouts/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { makeBudgets } from "./_make_budgets.js";
import { makeLeafAccess } from "./_make_leaf_access.js";
import { makeRunner } from "./_make_runner.js";
import type { RequestRunner } from "./request_runner.js";

/** Options of {@link makeCallPath}. */
export interface MakeCallPathOptions {
  /** Returns the current settings; names and addresses never change after startup. */
  readonly settings: () => BoxSettings;
  readonly clusterState: Pick<ClusterState, "evacuated" | "leafs" | "routes">;
  readonly view: FleetView;
  readonly quarantine: Quarantine;
  readonly versions: VersionAccess;
  /** Called when a call to a leaf or to another box is sent while none is open. */
  readonly onBusy: () => void;
  readonly telemetry: BoxTelemetry;
}

/** The parts through which calls reach leafs. */
export interface CallPath {
  readonly access: LeafAccess;
  readonly coldLeafs: ColdLeafs;
  readonly calls: LeafCalls;
  readonly relays: RelayCalls;
  readonly places: RelayPlaces;
  readonly budgets: ExtraCallBudgets;
  readonly runner: RequestRunner;
}

/**
 * Creates the parts of a box through which calls reach leafs.
 *
 * @param options - State that the parts read, and callbacks.
 * @returns The parts.
 */
export function makeCallPath(options: MakeCallPathOptions): CallPath {
  const { clusterState, onBusy, quarantine, settings, telemetry, versions, view } = options;
  const { dataCentre, regions } = settings();
  const relays = new RelayCalls({ nowMs, eventLoopIdleMs, onActive: onBusy });
  const { access, coldLeafs } = makeLeafAccess({
    settings: settings(),
    nowMs,
    clusterState: () => clusterState,
    view,
    quarantine,
    versions,
  });
  const calls = makeLeafCalls(access, options);
  const budgets = makeBudgets({ settings, view, nowMs });
  const places = new RelayPlaces({
    dataCentre,
    regionOf: (name) => regions.get(name) ?? name,
    servingBoxes: (region) => view.servingBoxes(region),
  });
  const runner = makeRunner({
    ...{ nowMs, eventLoopIdleMs, calls, places, relays, budgets, quarantine, access, telemetry },
    leafs: () => clusterState.leafs,
  });
  return { access, coldLeafs, calls, relays, places, budgets, runner };
}

function makeLeafCalls(
  access: LeafAccess,
  { clusterState, onBusy, quarantine, telemetry, view }: MakeCallPathOptions,
): LeafCalls {
  return new LeafCalls({
    ...{ quarantine, access, nowMs, eventLoopIdleMs, onBusy },
    maxConnectionsTo: (service) => {
      const terms = clusterState.routes?.termsByService.get(service);
      return view.connectionShare(terms?.maxConnections || Number.POSITIVE_INFINITY);
    },
    onEnd: (result) => telemetry.attempts.add(result),
  });
}
