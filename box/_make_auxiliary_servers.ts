/**
 * Makes the servers beside the one for requests: ties them to what the box knows.
 *
 * @module
 */
import type { LeafCalls } from "../calls/mod.js";
import { nowMs } from "../clock/mod.js";
import type { ClusterState } from "../cluster_state/mod.js";
import type { FleetView, RelayPlaces } from "../fleet/mod.js";
import { eventLoopIdleMs } from "../latency/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { allowedRegionsOfHost } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import {
  createAuxiliaryServers,
  type MetricsEndpoint,
  type ServerAtPort,
} from "./auxiliary_servers.js";
import type { BoxLifecycle } from "./box_lifecycle.js";
import type { BoxReport } from "./box_report.js";

/** Time that callers may keep an answer of the directory, in milliseconds; at most the setting. */
const KEEP_MS = 5_000;

/** What the servers are tied to. */
export interface MakeAuxiliaryServersOptions {
  /** Settings in force; ports are those of the start. */
  readonly settings: () => BoxSettings;
  readonly lifecycle: Pick<BoxLifecycle, "phase">;
  readonly view: Pick<FleetView, "resolveAddresses">;
  readonly clusterState: Pick<ClusterState, "leafs" | "routes" | "sharedStateSince">;
  readonly quarantine: Pick<Quarantine, "clear">;
  readonly calls: LeafCalls;
  readonly places: Pick<RelayPlaces, "distance">;
  readonly access: LeafAccess;
  readonly report: () => BoxReport;
  readonly metrics: MetricsEndpoint | undefined;
  readonly telemetry: Pick<BoxTelemetry, "metricsText" | "relayedParts">;
}

/**
 * Makes the servers; none is listening yet.
 *
 * @param options - What they are tied to.
 * @returns Each with its port.
 */
export function makeAuxiliaryServers(
  options: MakeAuxiliaryServersOptions,
): ReadonlyArray<ServerAtPort> {
  const {
    access,
    calls,
    clusterState: knowledge,
    lifecycle: life,
    metrics,
    places,
    quarantine,
  } = options;
  const { report, settings, telemetry, view } = options;
  return createAuxiliaryServers({
    settings: settings(),
    isReady: () => life.phase === "ready",
    resolveAddresses: ({ host, region }) => {
      const { routes } = knowledge;
      return view.resolveAddresses(
        region,
        routes === undefined ? [] : allowedRegionsOfHost(routes, host),
      );
    },
    ttlMs: () => Math.min(KEEP_MS, settings().mostKeepMs),
    report,
    clearQuery: (fingerprint) => quarantine.clear(fingerprint),
    stateSince: (progress) => knowledge.sharedStateSince(progress),
    relay: {
      nowMs,
      eventLoopIdleMs: eventLoopIdleMs,
      calls,
      leafs: () => knowledge.leafs,
      distance: (leaf) => places.distance(leaf),
      access,
      onParts: (count) => telemetry.relayedParts.inc(count),
    },
    metrics,
    metricsText: () => telemetry.metricsText(),
  });
}
