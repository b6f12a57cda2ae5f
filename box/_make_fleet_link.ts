/**
 * Creates a box's link to the other boxes. State received from them is merged into the cluster
 * state, and membership changes update the fleet view.
 *
 * @module
 */

import { type ClusterState, PeerCatchUp } from "../cluster_state/mod.js";
import { FleetLink, type FleetView, type KnownFleetSize } from "../fleet/mod.js";
import type { Member, RolloutReport } from "../model/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/**
 * Maximum number of crash-inducing queries in one datagram, so that it is not fragmented. The
 * remaining ones follow in later datagrams.
 */
const MAX_QUERIES_PER_DATAGRAM = 8;

/** Options of {@link makeFleetLink}. */
export interface MakeFleetLinkOptions {
  /** Returns the current settings; names and addresses never change after startup. */
  readonly settings: () => BoxSettings;
  /** Membership record of this box. */
  readonly self: Member;
  readonly nowMs: () => number;
  readonly clusterState: ClusterState;
  readonly view: FleetView;
  readonly fleetSize: KnownFleetSize;
  readonly isLocal: (member: Member) => boolean;
  readonly quarantine: Pick<Quarantine, "applyReports" | "selectReports">;
  /** Called with reports on rollouts of another box. */
  readonly onRolloutReports: (
    reports: ReadonlyArray<RolloutReport>,
    sender: Member | undefined,
  ) => void;
  /** Called when the membership state of a box has changed. */
  readonly onMemberChange: () => void;
  readonly telemetry: BoxTelemetry;
}

/**
 * Creates the link.
 *
 * @param options - State that the link reads and updates.
 * @returns The link, not yet open.
 */
export function makeFleetLink(options: MakeFleetLinkOptions): FleetLink {
  const { clusterState, fleetSize, isLocal, nowMs, onMemberChange, quarantine } = options;
  const { settings, telemetry, view } = options;
  const { box, datagramPort } = settings();
  const catchUp = new PeerCatchUp({
    box,
    clusterState,
    isLocal,
    onRemoteUpdate: () => fleet.sendUpdate(view.regionPeers()),
    telemetry,
  });
  // A box of another region sends an update to only one box of this region, which forwards it.
  const forward = (sender: Member | undefined): void => {
    if (sender !== undefined && !isLocal(sender)) {
      fleet.sendUpdate(view.regionPeers());
    }
  };
  const regionPeers = (): ReadonlyArray<Member> => view.regionPeers();
  const fleet: FleetLink = new FleetLink({
    self: options.self,
    seeds: () => seedAddresses(settings()),
    port: datagramPort,
    nowMs,
    isLocal,
    progress: () => clusterState.progress,
    onProgress: (member, progress) => catchUp.catchUp(member, progress),
    crashes: () => quarantine.selectReports(MAX_QUERIES_PER_DATAGRAM),
    onCrashes: (reported, sender) => {
      if (quarantine.applyReports(reported)) {
        forward(sender);
      }
    },
    evacuations: () => clusterState.evacuationUpdate,
    onEvacuations: (updates, sender) => {
      if (clusterState.mergeEvacuations(updates)) {
        forward(sender);
      }
    },
    fleetSize: () => fleetSize.current,
    onFleetSize: (size, sender) => {
      if (fleetSize.merge(size)) {
        forward(sender);
      }
    },
    rollouts: () => clusterState.rolloutUpdate,
    onRollouts: (update, sender) => {
      if (clusterState.rollouts.merge(update) && sender !== undefined && !isLocal(sender)) {
        fleet.sendUpdateSoon(regionPeers);
      }
    },
    onRolloutReports: options.onRolloutReports,
    onAnswer: () => clusterState.recordPeerAnswer(),
    onMemberChange: ({ box: member, state, incarnation }) => {
      onMemberChange();
      telemetry.event("info", "fleet: box changed", { member, state, incarnation });
    },
    onError: (message) => telemetry.event("warn", "fleet: fault", { reason: message }),
  });
  return fleet;
}

function seedAddresses({ address: own, seeds }: BoxSettings): ReadonlyArray<string> {
  return seeds.map(({ address }) => address).filter((address) => address !== own);
}
