/**
 * One run of the soak of planned stops: boxes are stopped in series and together, under callers that
 * write to their connections themselves, and the invariants are checked.
 *
 * @module
 */
import { delay, waitUntil } from "../standins/waiting.js";
import { LOG_READERS } from "./box_log.js";
import { startBusyProcesses } from "./busy_processes.js";
import type { Disturbance } from "./disturbance.js";
import { type PlannedFault, type PlanOptions, planFaults } from "./fault_plan.js";
import { InvariantChecker } from "./invariant_checker.js";
import { LagMeter } from "./lag_meter.js";
import type { FaultSoakReport } from "./run_fault_soak.js";
import { SeededRandom } from "./seeded_random.js";
import { HOST } from "./soak_configuration.js";
import { type SoakBox, SoakFleet } from "./soak_fleet.js";
import { StopCallers } from "./stop_callers.js";
import { checkStops } from "./stop_checker.js";
import { STOP_HANDLERS, STOP_KINDS, type StopKind, WORK_MS } from "./stop_handlers.js";
import type { ProcessEnd, StopRequest } from "./stop_records.js";
import { toCallerResponse } from "./to_caller_response.js";

/** Time before the first and after the last disturbance, in milliseconds. */
const QUIET_MS = { before: 500, after: 1_000 } as const;

/** Options of {@linkcode runStopSoak}. */
export interface StopSoakOptions extends PlanOptions {
  /** Kinds to draw from; all by default. */
  readonly kinds?: ReadonlyArray<StopKind>;
  /** Number of boxes, each with its own process. */
  readonly boxes: number;
  /** Number of processes that keep processors busy during the run; 0 by default. */
  readonly busyProcesses?: number;
}

/**
 * Runs the soak of planned stops once.
 *
 * @param options - Seed, duration and number of boxes.
 * @returns Report of the run.
 */
export async function runStopSoak(options: StopSoakOptions): Promise<FaultSoakReport> {
  const random = new SeededRandom(options.seed);
  const logReaders = Array.from({ length: options.boxes }, () => {
    return random.pick([...LOG_READERS, "prompt" as const]);
  });
  const soak = await SoakFleet.start(options.boxes, { hasArchive: true, logReaders });
  const endBusyProcesses = startBusyProcesses(options.busyProcesses ?? 0);
  try {
    return await new StopSoakRun(soak, options).run();
  } finally {
    endBusyProcesses();
    await soak.stop();
  }
}

class StopSoakRun {
  readonly #soak: SoakFleet;
  readonly #options: StopSoakOptions;
  readonly #invariants: InvariantChecker;
  readonly #callers: StopCallers;
  readonly #requests: Array<StopRequest> = [];
  readonly #ends: Array<ProcessEnd> = [];
  readonly #lag = new LagMeter();
  readonly #occurred: Record<string, number> = {};
  readonly #statuses: Record<string, number> = {};
  readonly #disturbances: Array<Disturbance> = [];

  constructor(soak: SoakFleet, options: StopSoakOptions) {
    this.#soak = soak;
    this.#options = options;
    this.#invariants = new InvariantChecker(soak);
    this.#callers = new StopCallers(soak, {
      seed: options.seed,
      onRequest: (request) => this.#addRequest(request),
    });
  }

  async run(): Promise<FaultSoakReport> {
    for (const { leaf } of this.#soak.leafs) {
      leaf.configure({ workMs: WORK_MS.usual });
    }
    for (const box of this.#soak.boxes) {
      this.#watch(box);
    }
    const calling = this.#callers.run();
    await delay(QUIET_MS.before);
    const startedAtMs = performance.now();
    const plan = planFaults(this.#options, this.#options.kinds ?? STOP_KINDS);
    await Promise.all(plan.map((fault) => this.#disturb(fault, startedAtMs)));
    await delay(QUIET_MS.after);
    await this.#checkRecovery();
    this.#callers.stop();
    await calling;
    this.#lag.stop();
    for (const { linkFaults } of this.#soak.allLeafs) {
      linkFaults.push(...this.#lag.heldUp());
    }
    this.#invariants.checkAtEnd(this.#disturbances);
    checkStops({
      ...{ requests: this.#requests, ends: this.#ends },
      lagMs: (fromMs, untilMs) => this.#lag.maxMs(fromMs, untilMs),
      runs: this.#soak.allLeafs.flatMap(({ leaf }) => leaf.runs),
      check: (invariant, holds, detail) => this.#invariants.check(invariant, holds, detail),
    });
    const { seed } = this.#options;
    const { broken, checked } = this.#invariants;
    return { seed, occurred: this.#occurred, statuses: this.#statuses, checked, broken };
  }

  async #disturb(fault: PlannedFault<StopKind>, startedAtMs: number): Promise<void> {
    await delay(startedAtMs + fault.atMs - performance.now());
    const fromMs = performance.now();
    const { kind } = fault;
    const wasApplicable = await STOP_HANDLERS[kind](
      {
        ...{ soak: this.#soak, callers: this.#callers },
        onEnd: (end) => this.#ends.push(end),
        onStarted: (box) => this.#watch(box),
      },
      fault,
    );
    if (wasApplicable) {
      this.#occurred[kind] = (this.#occurred[kind] ?? 0) + 1;
      this.#disturbances.push({ fromMs, untilMs: performance.now() });
    }
  }

  /** Records an end of the current process of a box that nobody asked for. */
  #watch(box: SoakBox): void {
    const { endedCount } = box;
    void box.box.process.exited.then((exitCode) => {
      if (!box.isStopping && box.endedCount === endedCount) {
        const end = { box, endedCount, requestedAtMs: undefined, exitCode };
        this.#ends.push({ ...end, endedAtMs: performance.now() });
      }
    });
  }

  #addRequest(request: StopRequest): void {
    this.#requests.push(request);
    const { startedAtMs, sentAtMs = startedAtMs, response } = request;
    const isAnswered = response?.isComplete === true;
    this.#invariants.checkRequest({
      ...{ ...request, sentAtMs, duringStop: false },
      response: isAnswered ? toCallerResponse(response) : undefined,
    });
    const status = isAnswered ? String(response.statusCode) : "no answer";
    this.#statuses[status] = (this.#statuses[status] ?? 0) + 1;
  }

  /** Checks that each box serves queries after the last disturbance. */
  async #checkRecovery(): Promise<void> {
    for (const { box } of this.#soak.boxes) {
      let sent = 0;
      await waitUntil(async () => {
        sent += 1;
        const requestId = `recovery-${box.name}-${sent}`;
        const request = { path: "/sweep/", requestId, host: HOST };
        return (await this.#soak.fleet.sendRequest(box, request)).statusCode === 200;
      }, `${box.name} serves`).catch(() => {
        this.#invariants.broken.push(`recovery: ${box.name} does not serve`);
      });
    }
  }
}
