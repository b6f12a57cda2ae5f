/**
 * Disturbances of a soak of planned stops: the stops themselves, as a platform carries them out, and
 * what may happen beside them.
 *
 * @module
 */
import { delay } from "../standins/waiting.js";
import { startBusyProcesses } from "./busy_processes.js";
import type { PlannedFault } from "./fault_plan.js";
import { processorWaitMs } from "./processor_wait.js";
import { SeededRandom } from "./seeded_random.js";
import type { SoakBox, SoakFleet, SoakLeaf } from "./soak_fleet.js";
import type { StopCallers } from "./stop_callers.js";
import { GRACE_MS } from "./stop_checker.js";
import type { ProcessEnd } from "./stop_records.js";

/** Kinds of disturbances; stops are drawn most often. */
export const STOP_KINDS = [
  "boxStopped",
  "boxStopped",
  "boxesStopped",
  "allStoppedInSeries",
  "stopRepeated",
  "boxReloaded",
  "configurationChanged",
  "leafSlow",
  "leafUnresponsive",
  "processorsBusy",
] as const;

/** A kind of disturbance. */
export type StopKind = (typeof STOP_KINDS)[number];

/** Time between the stops of a series, in milliseconds. */
const SERIES_GAPS_MS = [0, 100, 400, 1_200] as const;

/** Maximum time between the first and the last of simultaneous stops, in milliseconds. */
const SIMULTANEOUS_MS = 300;

/** Processing times of leafs, in milliseconds. */
export const WORK_MS = { usual: 40, slow: [150, 400, 900, 1_800] } as const;

/** Number of processes that keep processors busy. */
const BUSY_PROCESSES = 2;

/** What the handlers act on. */
export interface StopSoak {
  readonly soak: SoakFleet;
  readonly callers: Pick<StopCallers, "openBeforeStop">;
  /** Called when a process has ended. */
  readonly onEnd: (end: ProcessEnd) => void;
  /** Called when the next process of a box has started. */
  readonly onStarted: (box: SoakBox) => void;
}

type StopHandler = (stops: StopSoak, fault: PlannedFault<StopKind>) => Promise<boolean>;

/** Handlers by kind; each returns whether the disturbance was applicable. */
export const STOP_HANDLERS: Readonly<Record<StopKind, StopHandler>> = {
  boxStopped: async (stops, { target }) => {
    const candidates = steadyBoxes(stops.soak);
    return stopAll(stops, candidates.slice(target % Math.max(1, candidates.length)).slice(0, 1));
  },
  boxesStopped: async (stops, { target }) => {
    const random = new SeededRandom(target);
    const candidates = steadyBoxes(stops.soak);
    const count = random.int(Math.min(2, candidates.length), candidates.length);
    const first = random.int(0, Math.max(0, candidates.length - count));
    const chosen = candidates.slice(first, first + count);
    return stopAll(stops, chosen, () => random.int(0, SIMULTANEOUS_MS));
  },
  allStoppedInSeries: async (stops, { target }) => {
    const gapMs = new SeededRandom(target).pick(SERIES_GAPS_MS);
    return stopAll(stops, steadyBoxes(stops.soak), (index) => index * gapMs);
  },
  stopRepeated: onBoxes(({ isStopping }) => isStopping, "SIGTERM"),
  boxReloaded: onBoxes(({ isStopping, hasProcessFault }) => {
    return isStopping || !hasProcessFault;
  }, "SIGHUP"),
  configurationChanged: async ({ soak }) => {
    soak.changeConfiguration();
    return true;
  },
  leafSlow: onLeaf(async ({ leaf }, { target, forMs }) => {
    leaf.configure({ workMs: new SeededRandom(target).pick(WORK_MS.slow) });
    await delay(forMs);
    leaf.configure({ workMs: WORK_MS.usual });
  }),
  leafUnresponsive: onLeaf(async ({ leaf }, { forMs }) => {
    leaf.configure({ unresponsive: true });
    await delay(forMs);
    leaf.configure({ unresponsive: false });
  }),
  processorsBusy: async (_stops, { forMs }) => {
    const end = startBusyProcesses(BUSY_PROCESSES);
    await delay(forMs);
    end();
    return true;
  },
};

/** Boxes that are ready, and neither stopping nor starting. */
function steadyBoxes({ boxes }: SoakFleet): ReadonlyArray<SoakBox> {
  return boxes.filter(({ hasProcessFault }) => !hasProcessFault);
}

async function stopAll(
  stops: StopSoak,
  chosen: ReadonlyArray<SoakBox>,
  afterMs: (index: number) => number = () => 0,
): Promise<boolean> {
  for (const box of chosen) {
    box.hasProcessFault = true;
  }
  await Promise.all(chosen.map((box, index) => stopBox(stops, box, afterMs(index))));
  return chosen.length > 0;
}

/** Stops a box as a platform does, with SIGKILL at the end of its grace, and starts it again. */
async function stopBox(stops: StopSoak, chosen: SoakBox, afterMs: number): Promise<void> {
  const { fleet } = stops.soak;
  const { box, endedCount } = chosen;
  await delay(afterMs);
  const useConnections = await stops.callers.openBeforeStop(chosen);
  chosen.isStopping = true;
  const requestedAtMs = performance.now();
  box.process.signal("SIGTERM");
  useConnections();
  const { pid } = box.process;
  const waitedBeforeMs = processorWaitMs(pid) ?? Number.NaN;
  let waitedMs: number | undefined;
  const timer = setTimeout(() => {
    waitedMs = (processorWaitMs(pid) ?? Number.NaN) - waitedBeforeMs;
    box.process.signal("SIGKILL");
  }, GRACE_MS);
  const exitCode = await box.process.exited;
  clearTimeout(timer);
  const endedAtMs = performance.now();
  stops.onEnd({ box: chosen, endedCount, requestedAtMs, endedAtMs, exitCode, waitedMs });
  chosen.endedCount += 1;
  chosen.isStopping = false;
  await fleet.restart(box);
  chosen.incarnation += 1;
  stops.onStarted(chosen);
  await fleet.waitUntilReady([box]);
  chosen.hasProcessFault = false;
}

function onBoxes(isCandidate: (box: SoakBox) => boolean, signal: NodeJS.Signals): StopHandler {
  return async ({ soak }, { target }) => {
    const candidates = soak.boxes.filter(isCandidate);
    const chosen = candidates[target % Math.max(1, candidates.length)];
    chosen?.box.process.signal(signal);
    return chosen !== undefined;
  };
}

function onLeaf(act: (chosen: SoakLeaf, fault: PlannedFault<StopKind>) => Promise<void>) {
  return async ({ soak }: StopSoak, fault: PlannedFault<StopKind>): Promise<boolean> => {
    const chosen = soak.leafs[fault.target % soak.leafs.length];
    if (chosen !== undefined) {
      await act(chosen, fault);
    }
    return chosen !== undefined;
  };
}
