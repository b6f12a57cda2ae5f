/**
 * Orders of rollouts in a fault soak: good and bad versions at random, the consequences of their
 * verdicts, and their invariants.
 *
 * @module
 */
import prand from "pure-rand";
import { type LeafDefect, RolloutTrial } from "../platform/standin/mod.js";
import { delay } from "../standins/waiting.js";
import { type Disturbance, isDisturbed, isHeldUp } from "./disturbance.js";
import { LEDGER, SHARDS } from "./soak_configuration.js";
import type { SoakFleet } from "./soak_fleet.js";

/** Duration of an order, in seconds. */
const DURATION_S = { min: 4, max: 6 } as const;

/** Time between two orders, in milliseconds. */
const GAP_MS = { min: 300, max: 1_500 } as const;

/** Duration of the orders without faults, in seconds. */
const QUIET_DURATION_S = 5;

/**
 * Time after its deadline for which an order is followed, in milliseconds: longer than
 * `rollbackMs`. The leafs of a version that was rolled back drain afterwards.
 */
const LATE_MS = 6_000;

/** Time between two reads of an order's status, in milliseconds. */
const STATUS_INTERVAL_MS = 20;

const FAILING: LeafDefect = { kind: "failing", share: 0.4 };

/** Time from an order to a later defect, in milliseconds. */
const LATER_MS = 2_500;

/** Defects of bad versions, for the time of the order. */
const DEFECTS: ReadonlyArray<(orderedAtMs: number) => LeafDefect> = [
  () => FAILING,
  (atMs) => ({ kind: "fromMoment", atMs: atMs + LATER_MS, defect: FAILING }),
  () => ({ kind: "underLoad", aboveRequests: 1, defect: FAILING }),
  () => ({ kind: "slow", factor: 12 }),
];

/** An order of the soak. */
interface SoakOrder {
  readonly name: string;
  readonly service: string;
  readonly isBad: boolean;
  readonly trial: RolloutTrial;
}

/** Gives orders during one run of the soak, and checks what becomes of them. */
export class SoakRollouts {
  readonly #soak: SoakFleet;
  readonly #orders: Array<SoakOrder> = [];
  readonly #following: Array<Promise<void>> = [];
  /** Violated invariants, each with details. */
  readonly broken: Array<string> = [];
  /** Number of checks, by invariant. */
  readonly checked: Record<string, number> = {};
  #random: prand.RandomGenerator;
  #isStopped = false;

  /**
   * @param soak - The programs.
   * @param seed - Seed of the services and versions.
   */
  constructor(soak: SoakFleet, seed: number) {
    this.#soak = soak;
    this.#random = prand.xoroshiro128plus(seed);
  }

  /** Gives orders until {@linkcode SoakRollouts.stop} is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const service = this.#pick([...SHARDS, LEDGER].filter((each) => !this.#isRunning(each)));
      const durationS = this.#int(DURATION_S.min, DURATION_S.max);
      if (service !== undefined) {
        await this.#order(service, { durationS, isBad: this.#int(0, 1) === 1 });
      }
      await delay(this.#int(GAP_MS.min, GAP_MS.max));
    }
  }

  /** Ends {@linkcode SoakRollouts.run} after the current order. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Waits for the orders so far, and gives a good and a bad one without faults. */
  async finish(): Promise<void> {
    await Promise.all(this.#following);
    const [good = LEDGER, bad = LEDGER] = SHARDS;
    await this.#order(good, { durationS: QUIET_DURATION_S, isBad: false });
    await this.#order(bad, { durationS: QUIET_DURATION_S, isBad: true });
    await Promise.all(this.#following);
  }

  /**
   * Checks the invariants of all orders.
   *
   * @param faults - All faults; the state at the deadline is checked for orders without one.
   */
  checkAtEnd(faults: ReadonlyArray<Disturbance>): void {
    for (const { name, isBad, trial } of this.#orders) {
      const counts = trial.counts();
      const detail = `${name}: ${JSON.stringify(counts)}`;
      const check = (invariant: string, holds: boolean): void => {
        this.checked[invariant] = (this.checked[invariant] ?? 0) + 1;
        if (!holds) {
          this.broken.push(`${invariant}: ${detail}`);
        }
      };
      check("an order has one verdict at most", counts.verdicts <= 1);
      check("a replaced version gets no calls", counts.formerCallsAfterCompletion === 0);
      if (isBad) {
        check(
          "a bad version gets no more calls than its exposure allows",
          counts.targetCalls <= counts.allowedTargetCalls,
        );
        check("a bad version gets no calls once it is stopped", counts.callsAfterStop === 0);
        check("a bad version gets no calls after its rollback", counts.callsAfterRollback === 0);
      }
      const durationMs = trial.deadlineAtMs - trial.orderedAtMs;
      // A fault that ended shortly before the order counts as well, as boxes may still recover from
      // it.
      const isQuiet = !faults.some(({ fromMs, untilMs }) => {
        return (
          fromMs < trial.deadlineAtMs && isDisturbed(trial.orderedAtMs, [{ fromMs: 0, untilMs }])
        );
      });
      if (isQuiet) {
        const isInTime = counts.verdictAfterMs <= durationMs;
        const expected = isBad ? "rolled_back" : "completed";
        check("an undisturbed order ends in time", isInTime && counts.state === expected);
      }
    }
  }

  async #order(
    service: string,
    { durationS, isBad }: { readonly durationS: number; readonly isBad: boolean },
  ): Promise<void> {
    const targetVersion = `v${this.#orders.length + 2}`;
    const defect = isBad ? this.#pick(DEFECTS)?.(performance.now()) : undefined;
    const build = { version: targetVersion, defects: defect === undefined ? [] : [defect] };
    await this.#soak.addLeaf(service, "hall-a", { build });
    await this.#soak.addLeaf(service, "hall-b", { build });
    const trial = new RolloutTrial({
      ...{ service, targetVersion, durationS, platform: this.#soak.fleet.platform },
      leafs: () => this.#soak.allLeafs.map(({ leaf }) => leaf),
      isHeldUp: (leaf, atMs) => {
        const found = this.#soak.allLeafs.find((each) => each.leaf === leaf);
        return isHeldUp(atMs, found?.linkFaults ?? []);
      },
    });
    const name = `${service} to ${targetVersion} (${defect?.kind ?? "good"})`;
    this.#orders.push({ name, service, isBad, trial });
    this.#following.push(this.#follow(trial));
  }

  /**
   * Follows an order until some time after its deadline, and applies the consequences of its
   * verdict.
   */
  async #follow(trial: RolloutTrial): Promise<void> {
    while (performance.now() < trial.deadlineAtMs + LATE_MS) {
      if (trial.readStatus() && trial.status?.state === "completed") {
        this.#soak.endLeafs(trial.former);
      }
      await delay(STATUS_INTERVAL_MS);
    }
    if (trial.status?.state !== "completed") {
      this.#soak.drainLeafs(trial.targets);
    }
  }

  #isRunning(service: string): boolean {
    return this.#orders.some((order) => {
      return order.service === service && performance.now() < order.trial.deadlineAtMs + LATE_MS;
    });
  }

  #pick<T>(candidates: ReadonlyArray<T>): T | undefined {
    return candidates[this.#int(0, Math.max(0, candidates.length - 1))];
  }

  #int(min: number, max: number): number {
    const [value, random] = prand.uniformIntDistribution(min, max, this.#random);
    this.#random = random;
    return value;
  }
}
