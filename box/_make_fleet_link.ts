/**
 * Makes a box's link to the others: what it learns from them goes to its knowledge, changes of boxes to
 * its view of the fleet.
 *
 * @module
 */

import { type ClusterState, PeerCatchUp } from "../cluster_state/mod.js";
import { FleetLink, type FleetView, selfMember } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import type { BoxSettings } from "../platform/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/**
 * Most queries under which leafs were lost that a datagram tells of, some 40 bytes each; with the members it
 * stays below what a link carries in one piece. Others follow with the next ones.
 */
const MOST_TOLD_QUERIES = 8;

/** What the link is made from. */
export interface MakeFleetLinkOptions {
  /** Settings in force; names and addresses are those of the start. */
  readonly settings: () => BoxSettings;
  readonly nowMs: () => number;
  readonly clusterState: ClusterState;
  readonly view: FleetView;
  readonly isLocal: (member: Member) => boolean;
  readonly quarantine: Pick<Quarantine, "applyReports" | "selectReports">;
  /** Told when a box has changed. */
  readonly onMember: () => void;
  readonly telemetry: BoxTelemetry;
}

/**
 * Makes the link.
 *
 * @param options - What it is made from.
 * @returns The link, not yet open.
 */
export function makeFleetLink(options: MakeFleetLinkOptions): FleetLink {
  const {
    isLocal: isNear,
    clusterState: knowledge,
    nowMs,
    onMember,
    quarantine,
    settings,
    telemetry,
    view,
  } = options;
  const { box, datagramPort } = settings();
  const catchUp = new PeerCatchUp({
    box,
    clusterState: knowledge,
    isLocal: isNear,
    onRemoteUpdate: () => fleet.sendUpdate(view.regionPeers()),
    telemetry,
  });
  const fleet: FleetLink = new FleetLink({
    self: selfMember(settings()),
    seeds: () => seedAddresses(settings()),
    port: datagramPort,
    nowMs,
    isLocal: isNear,
    progress: () => knowledge.progress,
    onProgress: (member, progress) => catchUp.catchUp(member, progress),
    crashes: () => quarantine.selectReports(MOST_TOLD_QUERIES),
    onCrashes: (told, sender) => {
      // The sender has told one box of this region.
      if (quarantine.applyReports(told) && sender !== undefined && !isNear(sender)) {
        fleet.sendUpdate(view.regionPeers());
      }
    },
    evacuations: () => knowledge.evacuationUpdate,
    onEvacuations: (news, sender) => {
      if (knowledge.mergeEvacuations(news) && sender !== undefined && !isNear(sender)) {
        fleet.sendUpdate(view.regionPeers());
      }
    },
    onMemberChange: ({ box: member, state, incarnation }) => {
      onMember();
      telemetry.event("info", "fleet: box changed", { member, state, incarnation });
    },
    onError: (message) => telemetry.event("warn", "fleet: fault", { reason: message }),
  });
  return fleet;
}

function seedAddresses({ address: own, seeds }: BoxSettings): ReadonlyArray<string> {
  return seeds.map(({ address }) => address).filter((address) => address !== own);
}
