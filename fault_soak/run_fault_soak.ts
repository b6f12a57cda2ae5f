/**
 * One run of the fault soak: starts the real programs and callers, injects the planned faults, and
 * checks the invariants during the run and at its end.
 *
 * @module
 */
import { delay, waitUntil } from "../standins/waiting.js";
import type { Disturbance } from "./disturbance.js";
import { DISTURBING_KINDS, FAULT_HANDLERS } from "./fault_handlers.js";
import { type FaultPlanOptions, faultPlan, type PlannedFault } from "./fault_plan.js";
import { InvariantChecker } from "./invariant_checker.js";
import { SoakCallers } from "./soak_callers.js";
import { SoakFleet } from "./soak_fleet.js";
import { SoakRollouts } from "./soak_rollouts.js";

/** Time without faults after the last one, in which all programs must recover, in milliseconds. */
const RECOVERY_WAIT_MS = 6_000;

/** Options of {@linkcode runFaultSoak}. */
export interface FaultSoakOptions extends FaultPlanOptions {
  /** Number of boxes, each with its own process. */
  readonly boxes: number;
  /** Whether versions of leafs are rolled out among the faults; disabled by default. */
  readonly rollouts?: boolean;
}

/** Report of a run. */
export interface FaultSoakReport {
  readonly seed: number;
  /** Number of injected faults, by kind. */
  readonly occurred: Readonly<Record<string, number>>;
  /** Number of responses to callers, by status code. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Number of checks, by invariant. */
  readonly checked: Readonly<Record<string, number>>;
  /** Violated invariants, each with details. */
  readonly broken: ReadonlyArray<string>;
}

/**
 * Runs the fault soak once.
 *
 * @param options - Seed, duration, kinds of faults and number of boxes.
 * @returns Report of the run.
 */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakReport> {
  const soak = await SoakFleet.start(options.boxes, options);
  try {
    return await new FaultSoak(soak, options).run();
  } finally {
    await soak.stop();
  }
}

class FaultSoak {
  readonly #soak: SoakFleet;
  readonly #options: FaultSoakOptions;
  readonly #invariants: InvariantChecker;
  readonly #callers: SoakCallers;
  readonly #occurred: Record<string, number> = {};
  readonly #disturbances: Array<Disturbance> = [];
  /** Periods of all faults, also of those that do not extend deadlines. */
  readonly #faults: Array<Disturbance> = [];
  readonly #rollouts: SoakRollouts;

  constructor(soak: SoakFleet, options: FaultSoakOptions) {
    this.#soak = soak;
    this.#options = options;
    this.#invariants = new InvariantChecker(soak);
    this.#callers = new SoakCallers(soak, this.#invariants, options.seed);
    this.#rollouts = new SoakRollouts(soak, options.seed);
  }

  async run(): Promise<FaultSoakReport> {
    const calling = this.#callers.run();
    const { rollouts = false, seed } = this.#options;
    const ordering = rollouts ? this.#rollouts.run() : undefined;
    const startedAtMs = performance.now();
    const faults = faultPlan(this.#options).map((fault) => this.#inject(fault, startedAtMs));
    await Promise.all(faults);
    this.#rollouts.stop();
    await delay(RECOVERY_WAIT_MS);
    await this.#checkRecovery();
    if (rollouts) {
      await ordering;
      await this.#rollouts.finish();
    }
    this.#callers.stop();
    await calling;
    this.#invariants.checkAtEnd(this.#disturbances);
    this.#rollouts.checkAtEnd(this.#faults);
    const checked = { ...this.#invariants.checked, ...this.#rollouts.checked };
    const broken = [...this.#invariants.broken, ...this.#rollouts.broken];
    const { statuses } = this.#callers;
    return { seed, occurred: this.#occurred, statuses, checked, broken };
  }

  async #inject(fault: PlannedFault, startedAtMs: number): Promise<void> {
    await delay(startedAtMs + fault.atMs - performance.now());
    const fromMs = performance.now();
    const wasApplicable = await FAULT_HANDLERS[fault.kind](this.#soak, fault);
    if (!wasApplicable) {
      return;
    }
    this.#occurred[fault.kind] = (this.#occurred[fault.kind] ?? 0) + 1;
    const disturbance = { fromMs, untilMs: performance.now() };
    this.#faults.push(disturbance);
    if (DISTURBING_KINDS.has(fault.kind)) {
      this.#disturbances.push(disturbance);
    }
  }

  /** Checks that each box serves all routes of the latest configuration after the recovery. */
  async #checkRecovery(): Promise<void> {
    for (const box of this.#soak.boxes) {
      for (const path of ["/sweep/", `/version-${this.#soak.version}/`]) {
        await waitUntil(
          async () => (await this.#callers.sendRequest(box, path)) === 200,
          `${path} is served`,
        ).catch(() =>
          this.#invariants.broken.push(`recovery: ${box.box.name} does not serve ${path}`),
        );
      }
    }
  }
}
