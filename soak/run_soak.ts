/**
 * One run: several boxes, callers and operators in virtual time, with seeded faults.
 *
 * @module
 */

import { Schedule } from "../virtual_time/mod.js";
import { checkRun } from "./check_run.js";
import { RevisionCheck } from "./revision_check.js";
import { SoakCallers } from "./soak_callers.js";
import { bringAbout, drawFaults, type Fault } from "./soak_faults.js";
import { SoakServices } from "./soak_services.js";
import { SoakWorld } from "./soak_world.js";

/** How a run is made. */
export interface SoakOptions {
  readonly seed: number;
  /** Things that happen at least; the run then comes to rest. */
  readonly steps: number;
  /** Faults to bring about; by default those drawn from the seed. */
  readonly faults?: ReadonlyArray<Fault>;
}

/** What a run showed. */
export interface SoakReport {
  readonly seed: number;
  readonly steps: number;
  readonly virtualMs: number;
  readonly faults: ReadonlyArray<Fault>;
  /** Faults and other events that occurred, by kind. */
  readonly occurred: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Longest time after which a leaving leaf still got work, in milliseconds. */
  readonly leavingMs: number;
  /** A sentence for each thing that did not hold. */
  readonly broken: ReadonlyArray<string>;
}

const BOXES = 4;

/** Faults are drawn for this long; a run of few steps ends before. */
const FAULTS_UNTIL_MS = 3_600_000;

/** Time without faults at the end, longer than a leaf is held as leaving, in milliseconds. */
const REST_MS = 45_000;

/** Time before the end at which each box is asked once more, in milliseconds. */
const LAST_QUERIES_MS = 2_000;

/** Mean time between two queries, in milliseconds. */
const QUERY_EVERY_MS = 12;

/** Time between two looks at the revisions in force, in milliseconds. */
const LOOK_EVERY_MS = 100;

/**
 * Runs once.
 *
 * @param options - Seed and length.
 * @returns What it showed; the same options give the same report.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, steps } = options;
  const schedule = new Schedule(seed);
  const world = new SoakWorld(schedule);
  for (let index = 0; index < BOXES; index++) {
    world.addBox(`box-${index + 1}`, `dc-${(index % 3) + 1}`);
  }
  const services = new SoakServices(world);
  services.start();
  const callers = new SoakCallers(world, services);
  const faults = options.faults ?? drawFaults(seed, FAULTS_UNTIL_MS);
  let isResting = false;
  for (const fault of faults) {
    schedule.after(fault.atMs, () => {
      if (!isResting) {
        bringAbout(world, services, fault);
      }
    });
  }
  const call = (): void => {
    if (!isResting) {
      callers.call();
      schedule.after(schedule.int(1, 2 * QUERY_EVERY_MS), call);
    }
  };
  schedule.after(2_000, call);
  const revisions = new RevisionCheck(world);
  const look = (): void => {
    revisions.look();
    schedule.after(LOOK_EVERY_MS, look);
  };
  schedule.after(0, look);

  await runWhile(schedule, services, () => schedule.steps < steps && world.broken.length === 0);
  isResting = true;
  const restUntilMs = schedule.nowMs + REST_MS;
  schedule.after(REST_MS - LAST_QUERIES_MS, () => callers.callEachBox());
  await runWhile(schedule, services, () => {
    return schedule.nowMs < restUntilMs && world.broken.length === 0;
  });
  const broken = [...world.broken, ...checkRun(world, services, callers.records)];
  return {
    seed,
    steps: schedule.steps,
    virtualMs: Math.round(schedule.nowMs),
    faults: faults.filter((fault) => fault.atMs <= schedule.nowMs),
    occurred: { ...world.occurred, ...world.platform.occurred },
    outcomes: callers.records.outcomes,
    runs: world.runs.length,
    leavingMs: Math.max(0, ...world.lateWork.map((each) => each.afterMs)),
    broken,
  };
}

async function runWhile(
  schedule: Schedule,
  services: SoakServices,
  goesOn: () => boolean,
): Promise<void> {
  while (goesOn() && schedule.runNext()) {
    if (services.pending > 0) {
      // Submissions are promises; all that is settled must go on before time does.
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
