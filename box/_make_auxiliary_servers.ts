/**
 * Creates the servers for readiness, directory, peers and metrics from the state of the box.
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
import { type ReceivedRelayRequest, TransitDelays } from "../relay/mod.js";
import { allowedRegionsOfHost } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import {
  type AuxiliaryServers,
  createAuxiliaryServers,
  type MetricsEndpoint,
} from "./auxiliary_servers.js";
import type { BoxLifecycle } from "./box_lifecycle.js";
import type { BoxReport } from "./box_report.js";

/** Maximum time to live of an address list, in milliseconds; the settings may lower it. */
const MAX_ADDRESS_TTL_MS = 5_000;

/** Time under way above which a relay request is logged, in milliseconds. */
const MIN_LOGGED_DELAY_MS = 100;

/** Options of {@link makeAuxiliaryServers}. */
export interface MakeAuxiliaryServersOptions {
  /** Returns the current settings; ports never change after startup. */
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
  readonly telemetry: Pick<
    BoxTelemetry,
    "logRequest" | "metricsText" | "relayDelayMs" | "relayedParts"
  >;
}

/**
 * Creates the servers; none is listening yet.
 *
 * @param options - State that the servers read.
 * @returns The servers with their ports.
 */
export function makeAuxiliaryServers(options: MakeAuxiliaryServersOptions): AuxiliaryServers {
  const { access, calls, clusterState, lifecycle, metrics, places, quarantine } = options;
  const { report, settings, telemetry, view } = options;
  return createAuxiliaryServers({
    settings: settings(),
    isReady: () => lifecycle.phase === "ready",
    resolveAddresses: ({ host, region, dataCentre }) => {
      const { routes } = clusterState;
      return view.resolveAddresses({
        region,
        dataCentre,
        allowedRegions: routes === undefined ? [] : allowedRegionsOfHost(routes, host),
        tightestObjectiveMs: routes?.tightestObjectiveMs ?? Number.POSITIVE_INFINITY,
      });
    },
    ttlMs: () => Math.min(MAX_ADDRESS_TTL_MS, settings().mostKeepMs),
    report,
    clearQuery: (fingerprint) => quarantine.clear(fingerprint),
    stateSince: (progress) => clusterState.sharedStateSince(progress),
    relay: {
      isDeclining: () => lifecycle.phase === "finishing" || lifecycle.phase === "stopped",
      nowMs,
      eventLoopIdleMs,
      calls,
      leafs: () => clusterState.leafs,
      distance: (leaf) => places.distance(leaf),
      access,
      delays: new TransitDelays(),
      onReceived: (received) => logDelay(received, telemetry),
      onParts: (count) => telemetry.relayedParts.inc(count),
    },
    metrics,
    metricsText: () => telemetry.metricsText(),
  });
}

function logDelay(
  { delayMs, ...request }: ReceivedRelayRequest,
  telemetry: Pick<BoxTelemetry, "logRequest" | "relayDelayMs">,
): void {
  telemetry.relayDelayMs.observe(delayMs);
  if (delayMs > MIN_LOGGED_DELAY_MS) {
    const fields = { ...request, delayMs: Math.round(delayMs) };
    telemetry.logRequest("relay: request was received late", fields);
  }
}
