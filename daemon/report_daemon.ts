/**
 * Report of a daemon's state for operators.
 *
 * @module
 */
import { type ControlState, confirmedAgoMs, isIsolated } from "../control/mod.js";
import { type LifecyclePhase, lifecyclePhase } from "../lifecycle/mod.js";
import type { Member } from "../model/mod.js";
import type { Telemetry } from "../telemetry/mod.js";
import type { ControlShell, ControlTraffic } from "./control_shell.js";
import { nowMs } from "./core_runner.js";

/** State of a daemon as reported to operators. */
export interface DaemonReport {
  readonly member: Member;
  readonly phase: LifecyclePhase;
  readonly watching: boolean;
  readonly isolated: boolean;
  /** Time since the configuration was last confirmed to match the platform, in milliseconds. */
  readonly confirmedAgoMs: number;
  /** Applied revisions by object key. */
  readonly revisions: Readonly<Record<string, number>>;
  /** States of other daemons as seen by this one. */
  readonly members: ReadonlyArray<{ readonly memberId: string; readonly state: Member["state"] }>;
  readonly process: {
    readonly cpuMicros: number;
    readonly rssBytes: number;
    readonly upMs: number;
  };
  readonly traffic: ControlTraffic;
  readonly counts: Readonly<Record<string, number>>;
}

/** Parts of the shell that {@linkcode reportDaemon} reads. */
export interface ReportSources {
  readonly telemetry: Telemetry;
  readonly control: ControlShell;
}

/**
 * Builds the report of a daemon.
 *
 * @param state - Control state of the daemon.
 * @param sources - Telemetry and control part of the shell.
 * @returns The report.
 */
export function reportDaemon(
  state: ControlState,
  { telemetry, control }: ReportSources,
): DaemonReport {
  const cpu = process.cpuUsage();
  return {
    member: state.membership.self,
    phase: lifecyclePhase(state.lifecycle),
    watching: state.watching,
    isolated: isIsolated(state, nowMs()),
    confirmedAgoMs: Math.round(confirmedAgoMs(state, nowMs())),
    revisions: Object.fromEntries(state.catalog.objects.map((object) => object.revision)),
    members: [...state.membership.records.values()].map(({ member }) => {
      return { memberId: member.memberId, state: member.state };
    }),
    process: {
      cpuMicros: cpu.user + cpu.system,
      rssBytes: process.memoryUsage().rss,
      upMs: nowMs(),
    },
    traffic: control.traffic(),
    counts: telemetry.counts(),
  };
}
