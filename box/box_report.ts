/**
 * What a box tells operators of itself: what is in force on it and since when, the leafs that it
 * believes in and why, what is left of its budgets.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import type { Leaf, LeafHealth } from "../leafs/mod.js";
import type { Member, MemberState } from "../model/mod.js";
import { type CrashRecord, type ReportedCrashes, toReportedCrashes } from "../quarantine/mod.js";

/** Path at which a box tells it, on its peers' port. */
export const REPORT_PATH = "/peer/v1/report";

/** Path by which operators clear a query under which leafs were lost; its fingerprint stands behind it. */
export const CLEAR_QUERY_PATH = "/peer/v1/lift/";

/** How a leaf is seen by a box. */
export type LeafStatus = "ready" | "warming up" | "evacuated" | "draining" | "lapsed" | "gone";

/** One leaf as a box believes in it. */
export interface LeafReport {
  readonly leafId: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly standing: LeafStatus;
  /** Mean time of its answers, in milliseconds; 0 before the first. */
  readonly meanMs: number;
  readonly openCalls: number;
  readonly failuresInRow: number;
  /** Time for which it is still asked only where no other is left, in milliseconds. */
  readonly avoidedForMs: number;
}

/** The configuration in force on a box. */
export interface ConfigurationReport {
  readonly version: number;
  readonly source: "store" | "peer";
  /** Time for which it has been in force, in milliseconds. */
  readonly inForceForMs: number;
}

/** Another box as this one knows it. */
export interface MemberReport {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: MemberState;
  readonly address: string;
  readonly peerPort: number;
}

/** What a box tells of itself. */
export interface BoxReport {
  readonly box: string;
  readonly phase: string;
  /** Nothing before the first configuration. */
  readonly configuration?: ConfigurationReport | undefined;
  readonly leafsRevision: number;
  /** Whether it watches the store itself. */
  readonly isWatcher: boolean;
  readonly isStoreReachable: boolean;
  /** Time since it last heard news of the store, in milliseconds. */
  readonly knownAgoMs: number;
  readonly running: number;
  readonly members: ReadonlyArray<MemberReport>;
  readonly leafs: ReadonlyArray<LeafReport>;
  /** Extra calls that each service's budget allows at this moment. */
  readonly extraCallsLeft: Readonly<Record<string, number>>;
  /** Data centres to whose leafs nothing more is sent. */
  readonly evacuated: ReadonlyArray<string>;
  /** Queries under which leafs were lost, the latest change last. */
  readonly queries: ReadonlyArray<ReportedCrashes>;
}

/** What a report is made from. */
export interface BoxReportInput {
  readonly box: string;
  readonly phase: string;
  readonly knowledge: Pick<
    ClusterState,
    | "activeConfiguration"
    | "evacuated"
    | "isStoreReachable"
    | "lastUpdateAtMs"
    | "isWatcher"
    | "leafs"
    | "leafsRevision"
  >;
  readonly isCold: (leafId: string) => boolean;
  readonly condition: (leafId: string) => LeafHealth | undefined;
  readonly runningCount: number;
  readonly members: ReadonlyArray<Member>;
  readonly extraCallsLeft: ReadonlyMap<string, number>;
  readonly crashRecords: ReadonlyArray<CrashRecord>;
  readonly nowMs: number;
}

/**
 * Makes a box's report.
 *
 * @param reported - What the box knows.
 * @returns The report.
 */
export function buildBoxReport(reported: BoxReportInput): BoxReport {
  const { box, crashRecords, extraCallsLeft, knowledge, members, nowMs, phase, runningCount } =
    reported;
  const {
    activeConfiguration: adopted,
    isStoreReachable,
    lastUpdateAtMs: heardAtMs,
    isWatcher,
    leafsRevision,
  } = knowledge;
  const configuration = adopted && {
    version: adopted.version,
    source: adopted.source,
    inForceForMs: Math.round(nowMs - adopted.atMs),
  };
  return {
    ...{ box, phase, configuration, leafsRevision, isWatcher, isStoreReachable },
    knownAgoMs: Math.round(nowMs - heardAtMs),
    running: runningCount,
    members: members.map(reportMember),
    leafs: reportLeafs(reported),
    extraCallsLeft: Object.fromEntries(extraCallsLeft),
    evacuated: [...knowledge.evacuated].toSorted(),
    queries: crashRecords.map((record) => toReportedCrashes(record, nowMs)),
  };
}

function reportMember({ box, dataCentre, state, address, peerPort }: Member): MemberReport {
  return { box, dataCentre, state, address, peerPort };
}

function reportLeafs(reported: BoxReportInput): ReadonlyArray<LeafReport> {
  return [...reported.knowledge.leafs.byId.values()]
    .map((leaf) => reportLeaf(leaf, reported))
    .toSorted((a, b) => (`${a.service} ${a.leafId}` < `${b.service} ${b.leafId}` ? -1 : 1));
}

function reportLeaf(leaf: Leaf, reported: BoxReportInput): LeafReport {
  const { condition, nowMs } = reported;
  const { leafId, service, dataCentre } = leaf;
  const seen = condition(leafId);
  return {
    leafId,
    service,
    dataCentre,
    standing: standingOf(leaf, reported, seen),
    meanMs: Math.round(seen?.meanMs ?? 0),
    openCalls: seen?.openCalls.length ?? 0,
    failuresInRow: seen?.consecutiveFailures ?? 0,
    avoidedForMs: Math.max(0, Math.round((seen?.avoidUntilMs ?? 0) - nowMs)),
  };
}

function standingOf(
  { dataCentre, draining, leafId }: Leaf,
  { isCold, knowledge }: Pick<BoxReportInput, "isCold" | "knowledge">,
  condition: LeafHealth | undefined,
): LeafStatus {
  if (condition?.terminated === true) {
    return "gone";
  }
  if (draining) {
    return "draining";
  }
  if (knowledge.leafs.expiresAtMs.has(leafId)) {
    return "lapsed";
  }
  if (knowledge.evacuated.has(dataCentre)) {
    return "evacuated";
  }
  return isCold(leafId) ? "warming up" : "ready";
}
