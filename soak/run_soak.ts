/**
 * Runs several boxes, callers and operators in virtual time, with seeded faults.
 *
 * @module
 */

import { Schedule } from "../virtual_time/mod.js";
import { checkRun } from "./check_run.js";
import { RevisionCheck } from "./revision_check.js";
import { SoakCallers } from "./soak_callers.js";
import { type Fault, generateFaults, injectFault } from "./soak_faults.js";
import { SoakServices } from "./soak_services.js";
import { SoakSimulation } from "./soak_simulation.js";

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Number of events after which faults and queries end and the quiet period begins. */
  readonly steps: number;
  /** Faults to inject; generated from the seed by default. */
  readonly faults?: ReadonlyArray<Fault>;
}

/** Results of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly steps: number;
  readonly virtualMs: number;
  readonly faults: ReadonlyArray<Fault>;
  /** Number of faults and other events that occurred, by kind. */
  readonly eventCounts: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly leafCallCount: number;
  /** Longest time after which a leaving leaf still received a call, in milliseconds. */
  readonly maxLeavingMs: number;
  /** Description of each violated invariant. */
  readonly violations: ReadonlyArray<string>;
}

const BOX_COUNT = 4;

/** Virtual time up to which faults are generated, in milliseconds; a short run ends earlier. */
const MAX_FAULT_TIME_MS = 3_600_000;

/** Time without faults at the end, longer than a leaf is considered leaving, in milliseconds. */
const QUIET_PERIOD_MS = 45_000;

/** Time before the end at which each box receives a final query, in milliseconds. */
const FINAL_QUERIES_MS = 2_000;

/** Mean time between two queries, in milliseconds. */
const MEAN_QUERY_INTERVAL_MS = 12;

/** Interval of the revision check, in milliseconds. */
const REVISION_CHECK_INTERVAL_MS = 100;

/**
 * Runs a simulation.
 *
 * @param options - Seed, length and faults.
 * @returns The report; the same options give the same report.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, steps } = options;
  const schedule = new Schedule(seed);
  const simulation = new SoakSimulation(schedule);
  for (let index = 0; index < BOX_COUNT; index++) {
    simulation.addBox(`box-${index + 1}`, `dc-${(index % 3) + 1}`);
  }
  const services = new SoakServices(simulation);
  services.start();
  const callers = new SoakCallers(simulation, services);
  const faults = options.faults ?? generateFaults(seed, MAX_FAULT_TIME_MS);
  let isQuiet = false;
  for (const fault of faults) {
    schedule.after(fault.atMs, () => {
      if (!isQuiet) {
        injectFault(simulation, services, fault);
      }
    });
  }
  const sendQueries = (): void => {
    if (!isQuiet) {
      callers.sendQuery();
      schedule.after(schedule.int(1, 2 * MEAN_QUERY_INTERVAL_MS), sendQueries);
    }
  };
  schedule.after(2_000, sendQueries);
  const revisions = new RevisionCheck(simulation);
  const checkRevisions = (): void => {
    revisions.check();
    schedule.after(REVISION_CHECK_INTERVAL_MS, checkRevisions);
  };
  schedule.after(0, checkRevisions);

  await runWhile(
    schedule,
    services,
    () => schedule.steps < steps && simulation.violations.length === 0,
  );
  isQuiet = true;
  const endAtMs = schedule.nowMs + QUIET_PERIOD_MS;
  schedule.after(QUIET_PERIOD_MS - FINAL_QUERIES_MS, () => callers.queryEachBox());
  await runWhile(schedule, services, () => {
    return schedule.nowMs < endAtMs && simulation.violations.length === 0;
  });
  const violations = [...simulation.violations, ...checkRun(simulation, services, callers.records)];
  return {
    seed,
    steps: schedule.steps,
    virtualMs: Math.round(schedule.nowMs),
    faults: faults.filter((fault) => fault.atMs <= schedule.nowMs),
    eventCounts: { ...simulation.eventCounts, ...simulation.platform.eventCounts },
    outcomes: callers.records.outcomes,
    leafCallCount: simulation.runs.length,
    maxLeavingMs: Math.max(0, ...simulation.callsWhileLeaving.map((each) => each.afterMs)),
    violations,
  };
}

async function runWhile(
  schedule: Schedule,
  services: SoakServices,
  shouldContinue: () => boolean,
): Promise<void> {
  while (shouldContinue() && schedule.runNext()) {
    if (services.pendingSubmissions > 0) {
      // Submissions are promises: settled ones must proceed before virtual time advances.
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
