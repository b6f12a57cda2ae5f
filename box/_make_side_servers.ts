/**
 * Makes the servers beside the one for requests: ties them to what the box knows.
 *
 * @module
 */
import type { LeafCalls } from "../calls/mod.js";
import { nowMs } from "../clock/mod.js";
import type { FleetView, RelayPlaces } from "../fleet/mod.js";
import type { BoxKnowledge } from "../knowledge/mod.js";
import { waitedMs } from "../latency/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { homesOfHost } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { BoxLife } from "./box_life.js";
import type { BoxReport } from "./box_report.js";
import { type MetricsPlace, type ServerAtPort, sideServers } from "./side_servers.js";

/** Time that callers may keep an answer of the directory, in milliseconds; at most the setting. */
const KEEP_MS = 5_000;

/** What the servers are tied to. */
export interface MakeSideServersOptions {
  /** Settings in force; ports are those of the start. */
  readonly settings: () => BoxSettings;
  readonly life: Pick<BoxLife, "phase">;
  readonly view: Pick<FleetView, "advise">;
  readonly knowledge: Pick<BoxKnowledge, "leafs" | "routes" | "share">;
  readonly quarantine: Pick<Quarantine, "lift">;
  readonly calls: LeafCalls;
  readonly places: Pick<RelayPlaces, "distance">;
  readonly access: LeafAccess;
  readonly report: () => BoxReport;
  readonly metrics: MetricsPlace | undefined;
  readonly telemetry: Pick<BoxTelemetry, "metricsText" | "relayedParts">;
}

/**
 * Makes the servers; none is listening yet.
 *
 * @param options - What they are tied to.
 * @returns Each with its port.
 */
export function makeSideServers(options: MakeSideServersOptions): ReadonlyArray<ServerAtPort> {
  const { access, calls, knowledge, life, metrics, places, quarantine } = options;
  const { report, settings, telemetry, view } = options;
  return sideServers({
    settings: settings(),
    isReady: () => life.phase === "ready",
    advise: ({ host, region }) => {
      const { routes } = knowledge;
      return view.advise(region, routes === undefined ? [] : homesOfHost(routes, host));
    },
    keepMs: () => Math.min(KEEP_MS, settings().mostKeepMs),
    report,
    lift: (fingerprint) => quarantine.lift(fingerprint),
    share: (progress) => knowledge.share(progress),
    relay: {
      nowMs,
      waitedMs,
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
