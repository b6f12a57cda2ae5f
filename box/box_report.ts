/**
 * The report of a box for operators: active configuration, known leafs with their status, remaining
 * budgets.
 *
 * @module
 */

import type { ClusterState } from "../cluster_state/mod.js";
import { describeVersionBlock, type LeafAccess } from "../leaf_access/mod.js";
import type { Leaf, LeafHealth } from "../leafs/mod.js";
import type { Member, MemberState } from "../model/mod.js";
import { type CrashRecord, type ReportedCrashes, toReportedCrashes } from "../quarantine/mod.js";
import type { RolloutSummary } from "./_rollout_summary.js";

/** Path of the report on the peer port. */
export const REPORT_PATH = "/peer/v1/report";

/** Path prefix for clearing a crash-inducing query; the query's fingerprint follows. */
export const CLEAR_QUERY_PATH = "/peer/v1/lift/";

/** Status of a leaf as seen by a box. */
export type LeafStatus = "ready" | "warming up" | "evacuated" | "draining" | "lapsed" | "gone";

/** One leaf as seen by a box. */
export interface LeafReport {
  readonly leafId: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Version of its software; omitted if the leaf or the box does not report it. */
  readonly version?: string | undefined;
  readonly standing: LeafStatus;
  /** Why its version may not be called; omitted if it may. */
  readonly blockedBy?: string | undefined;
  /** Mean response time, in milliseconds; 0 before the first response. */
  readonly meanMs: number;
  readonly openCalls: number;
  readonly failuresInRow: number;
  /**
   * Remaining time during which it is called only if no other leaf is available, in milliseconds.
   */
  readonly avoidedForMs: number;
}

/** The active configuration of a box. */
export interface ConfigurationReport {
  readonly version: number;
  readonly source: "store" | "peer";
  /** Time since it became active, in milliseconds. */
  readonly inForceForMs: number;
}

/** A box as seen by the reporting box. */
export interface MemberReport {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: MemberState;
  readonly address: string;
  readonly peerPort: number;
}

/** The report of a box. */
export interface BoxReport {
  readonly box: string;
  readonly phase: string;
  /** Missing before the first configuration. */
  readonly configuration?: ConfigurationReport | undefined;
  readonly leafsRevision: number;
  /** Whether the box watches the store itself. */
  readonly isWatcher: boolean;
  readonly isStoreReachable: boolean;
  /** Time since the last update of the store's state, in milliseconds. */
  readonly knownAgoMs: number;
  readonly running: number;
  readonly members: ReadonlyArray<MemberReport>;
  readonly leafs: ReadonlyArray<LeafReport>;
  /** Number of extra calls that each service's budget currently allows. */
  readonly extraCallsLeft: Readonly<Record<string, number>>;
  /** Evacuated data centres, whose leafs receive no calls. */
  readonly evacuated: ReadonlyArray<string>;
  /** Crash-inducing queries, the latest change last. */
  readonly queries: ReadonlyArray<ReportedCrashes>;
  /** Orders of rollouts; missing in reports of earlier builds. */
  readonly rollouts?: ReadonlyArray<RolloutSummary>;
}

/** Input of {@link buildBoxReport}. */
export interface BoxReportInput {
  readonly box: string;
  readonly phase: string;
  readonly clusterState: Pick<
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
  readonly versionBlockOf: LeafAccess["versionBlockOf"];
  readonly healthOf: (leafId: string) => LeafHealth | undefined;
  readonly runningCount: number;
  readonly members: ReadonlyArray<Member>;
  readonly extraCallsLeft: ReadonlyMap<string, number>;
  readonly crashRecords: ReadonlyArray<CrashRecord>;
  /** Missing if the settings do not enable rollouts. */
  readonly rollouts?: ReadonlyArray<RolloutSummary>;
  readonly nowMs: number;
}

/**
 * Builds the report of a box.
 *
 * @param input - State of the box.
 * @returns The report.
 */
export function buildBoxReport(input: BoxReportInput): BoxReport {
  const { box, crashRecords, extraCallsLeft, clusterState, members, nowMs, phase, runningCount } =
    input;
  const { activeConfiguration, isStoreReachable, lastUpdateAtMs, isWatcher, leafsRevision } =
    clusterState;
  const configuration = activeConfiguration && {
    version: activeConfiguration.version,
    source: activeConfiguration.source,
    inForceForMs: Math.round(nowMs - activeConfiguration.atMs),
  };
  return {
    ...{ box, phase, configuration, leafsRevision, isWatcher, isStoreReachable },
    knownAgoMs: Math.round(nowMs - lastUpdateAtMs),
    running: runningCount,
    members: members.map(toMemberReport),
    leafs: toLeafReports(input),
    extraCallsLeft: Object.fromEntries(extraCallsLeft),
    evacuated: [...clusterState.evacuated].toSorted(),
    queries: crashRecords.map((record) => toReportedCrashes(record, nowMs)),
    rollouts: input.rollouts ?? [],
  };
}

function toMemberReport({ box, dataCentre, state, address, peerPort }: Member): MemberReport {
  return { box, dataCentre, state, address, peerPort };
}

function toLeafReports(input: BoxReportInput): ReadonlyArray<LeafReport> {
  return [...input.clusterState.leafs.byId.values()]
    .map((leaf) => toLeafReport(leaf, input))
    .toSorted((a, b) => (`${a.service} ${a.leafId}` < `${b.service} ${b.leafId}` ? -1 : 1));
}

function toLeafReport(leaf: Leaf, input: BoxReportInput): LeafReport {
  const { healthOf, nowMs } = input;
  const { leafId, service, dataCentre, version } = leaf;
  const health = healthOf(leafId);
  const versionBlock = input.versionBlockOf(leaf);
  return {
    leafId,
    service,
    dataCentre,
    version,
    standing: statusOf(leaf, input, health),
    blockedBy: versionBlock && describeVersionBlock(versionBlock),
    meanMs: Math.round(health?.meanMs ?? 0),
    openCalls: health?.openCalls.length ?? 0,
    failuresInRow: health?.consecutiveFailures ?? 0,
    avoidedForMs: Math.max(0, Math.round((health?.avoidUntilMs ?? 0) - nowMs)),
  };
}

function statusOf(
  { dataCentre, draining, leafId }: Leaf,
  { isCold, clusterState }: Pick<BoxReportInput, "isCold" | "clusterState">,
  health: LeafHealth | undefined,
): LeafStatus {
  if (health?.terminated === true) {
    return "gone";
  }
  if (draining) {
    return "draining";
  }
  if (clusterState.leafs.expiresAtMs.has(leafId)) {
    return "lapsed";
  }
  if (clusterState.evacuated.has(dataCentre)) {
    return "evacuated";
  }
  return isCold(leafId) ? "warming up" : "ready";
}
