/**
 * One run of the fault soak: starts the real programs, lets callers ask, brings the planned faults
 * about, and judges the promises while it runs and at its end.
 *
 * @module
 */
import { pause, until } from "../standins/waiting.js";
import type { Disturbance } from "./disturbance.js";
import { DISTURBING_KINDS, FAULT_HANDLERS } from "./fault_handlers.js";
import { type FaultPlanOptions, faultPlan, type PlannedFault } from "./fault_plan.js";
import { Promises } from "./promises.js";
import { SoakCallers } from "./soak_callers.js";
import { SoakFleet } from "./soak_fleet.js";

/** Time after the last fault in which nothing more is harmed, so that what is left must mend, in milliseconds. */
const CALM_MS = 6_000;

/** How a run is made. */
export interface FaultSoakOptions extends FaultPlanOptions {
  /** Boxes, each a process. */
  readonly boxes: number;
}

/** What a run found. */
export interface FaultSoakReport {
  readonly seed: number;
  /** Faults that really happened, by kind. */
  readonly occurred: Readonly<Record<string, number>>;
  /** Answers that callers got, by status. */
  readonly statuses: Readonly<Record<string, number>>;
  /** How often each promise was checked. */
  readonly checked: Readonly<Record<string, number>>;
  /** Promises that were broken, each with what showed it. */
  readonly broken: ReadonlyArray<string>;
}

/**
 * Runs the fault soak once.
 *
 * @param options - Its seed, length and size.
 * @returns What it found.
 */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakReport> {
  const soak = await SoakFleet.start(options.boxes);
  try {
    return await new FaultSoak(soak, options).run();
  } finally {
    await soak.stop();
  }
}

class FaultSoak {
  readonly #soak: SoakFleet;
  readonly #options: FaultPlanOptions;
  readonly #promises: Promises;
  readonly #callers: SoakCallers;
  readonly #occurred: Record<string, number> = {};
  readonly #disturbances: Array<Disturbance> = [];

  constructor(soak: SoakFleet, options: FaultPlanOptions) {
    this.#soak = soak;
    this.#options = options;
    this.#promises = new Promises(soak);
    this.#callers = new SoakCallers(soak, this.#promises, options.seed);
  }

  async run(): Promise<FaultSoakReport> {
    const calling = this.#callers.run();
    const startedAtMs = performance.now();
    const faults = faultPlan(this.#options).map((fault) => this.#bringAbout(fault, startedAtMs));
    await Promise.all(faults);
    await pause(CALM_MS);
    await this.#judgeRecovery();
    this.#callers.stop();
    await calling;
    this.#promises.judgeEnd(this.#disturbances);
    const { checked, broken } = this.#promises;
    const { statuses } = this.#callers;
    return { seed: this.#options.seed, occurred: this.#occurred, statuses, checked, broken };
  }

  async #bringAbout(fault: PlannedFault, startedAtMs: number): Promise<void> {
    await pause(startedAtMs + fault.atMs - performance.now());
    const fromMs = performance.now();
    const happened = await FAULT_HANDLERS[fault.kind](this.#soak, fault);
    if (!happened) {
      return;
    }
    this.#occurred[fault.kind] = (this.#occurred[fault.kind] ?? 0) + 1;
    if (DISTURBING_KINDS.has(fault.kind)) {
      this.#disturbances.push({ fromMs, untilMs: performance.now() });
    }
  }

  /** Once nothing is harmed any more, each box serves everything by the newest configuration. */
  async #judgeRecovery(): Promise<void> {
    for (const box of this.#soak.boxes) {
      for (const path of ["/sweep/", `/version-${this.#soak.version}/`]) {
        await until(
          async () => (await this.#callers.ask(box, path)) === 200,
          `${path} is served`,
        ).catch(() => this.#promises.broken.push(`recovery: ${box.box.name} serves no ${path}`));
      }
    }
  }
}
