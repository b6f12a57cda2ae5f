/**
 * Faults of a run. They are generated from the seed in advance, so that a failing run can be repeated
 * with fewer of them.
 *
 * @module
 */
import prand from "pure-rand";
import type { SoakBox } from "./simulation_view.js";
import { NON_REPEATABLE_SERVICE, REPEATABLE_SERVICE, type SoakServices } from "./soak_services.js";
import type { SoakSimulation } from "./soak_simulation.js";

/** Kinds of faults. */
export type FaultKind = keyof typeof FAULTS;

/** A planned fault. */
export interface Fault {
  readonly atMs: number;
  readonly kind: FaultKind;
  /** Number that selects the target of the fault. */
  readonly pick: number;
  readonly durationMs: number;
}

interface FaultContext {
  readonly simulation: SoakSimulation;
  readonly services: SoakServices;
  readonly fault: Fault;
}

function targetBox({ simulation, fault }: FaultContext): SoakBox | undefined {
  return simulation.boxes[fault.pick % simulation.boxes.length];
}

function targetLeaf({ simulation, fault }: FaultContext) {
  const leafs = [...simulation.leafs.values()];
  return leafs[fault.pick % leafs.length];
}

function scheduleUndo({ simulation, fault }: FaultContext, undo: () => void): void {
  simulation.schedule.after(fault.durationMs, undo);
}

function pauseNode(context: FaultContext, role: "entry" | "pool"): void {
  const node = targetBox(context)?.[role];
  if (node !== undefined) {
    node.pause(context.fault.durationMs);
    context.simulation.recordPause(node.self.incarnation);
  }
}

function killNode(context: FaultContext, role: "entry" | "pool"): void {
  const box = targetBox(context);
  if (box?.[role].isAlive === true) {
    context.simulation.kill(box, role, context.fault.durationMs);
  }
}

const FAULTS = {
  "kill entry": (context: FaultContext) => killNode(context, "entry"),
  "kill pool": (context: FaultContext) => killNode(context, "pool"),
  "pause entry": (context: FaultContext) => pauseNode(context, "entry"),
  "pause pool": (context: FaultContext) => pauseNode(context, "pool"),
  "cut two boxes": ({ simulation, fault }: FaultContext) => {
    const { boxes } = simulation;
    const one = boxes[fault.pick % boxes.length]?.box ?? "";
    const other = boxes[(fault.pick + 1) % boxes.length]?.box ?? "";
    simulation.network.cut(one, other, fault.durationMs);
  },
  "cut box off": (context: FaultContext) => {
    const isolated = targetBox(context)?.box ?? "";
    for (const { box } of context.simulation.boxes) {
      context.simulation.network.cut(isolated, box, context.fault.durationMs);
    }
    context.simulation.network.cut(isolated, "platform", context.fault.durationMs);
  },
  "cut from platform": (context: FaultContext) => {
    context.simulation.network.cut(
      targetBox(context)?.box ?? "",
      "platform",
      context.fault.durationMs,
    );
  },
  outage: (context: FaultContext) => {
    const { faults } = context.simulation.platform;
    faults.down = true;
    scheduleUndo(context, () => {
      faults.down = false;
    });
  },
  "slow platform": (context: FaultContext) => {
    const { faults } = context.simulation.platform;
    faults.slowMs = 300;
    scheduleUndo(context, () => {
      faults.slowMs = 0;
    });
  },
  "old reads": (context: FaultContext) => {
    const { faults } = context.simulation.platform;
    faults.staleVersions = 1 + (context.fault.pick % 3);
    scheduleUndo(context, () => {
      faults.staleVersions = 0;
    });
  },
  "lose replies": ({ simulation }: FaultContext) => {
    simulation.platform.faults.lostReplies += 1;
  },
  "lose writes": ({ simulation }: FaultContext) => {
    simulation.platform.faults.lostWrites += 1;
  },
  "box list lags": (context: FaultContext) => {
    const { faults } = context.simulation.platform;
    faults.boxLagMs = 5_000;
    scheduleUndo(context, () => {
      faults.boxLagMs = 0;
    });
  },
  "leaf down": (context: FaultContext) => {
    const leaf = targetLeaf(context);
    if (leaf !== undefined) {
      leaf.isDown = true;
      scheduleUndo(context, () => {
        leaf.isDown = false;
      });
    }
  },
  "leaf leaves": (context: FaultContext) => {
    const leaf = targetLeaf(context);
    if (leaf !== undefined && leaf.state === "ready") {
      leaf.state = "draining";
      leaf.leavingSinceMs = context.simulation.schedule.nowMs;
      scheduleUndo(context, () => {
        leaf.state = "ready";
        leaf.leavingSinceMs = Number.POSITIVE_INFINITY;
      });
    }
  },
  "leaf misbehaves": (context: FaultContext) => {
    const leaf = targetLeaf(context);
    const misbehaviours = ["other snapshot", "other shard", "empty", "garbage"] as const;
    if (leaf !== undefined) {
      leaf.misbehaviour = misbehaviours[context.fault.pick % misbehaviours.length] ?? "empty";
      scheduleUndo(context, () => {
        leaf.misbehaviour = "none";
      });
    }
  },
  "leaf slow": (context: FaultContext) => {
    const leaf = targetLeaf(context);
    if (leaf !== undefined) {
      leaf.slowFactor = 15;
      scheduleUndo(context, () => {
        leaf.slowFactor = 1;
      });
    }
  },
  repartition: ({ services, fault }: FaultContext) =>
    services.repartition(fault.pick % 4 === 0 ? NON_REPEATABLE_SERVICE : REPEATABLE_SERVICE),
  "operators race": ({ services, fault }: FaultContext) =>
    services.submitConcurrently(
      fault.pick % 4 === 0 ? NON_REPEATABLE_SERVICE : REPEATABLE_SERVICE,
      2 + (fault.pick % 2),
    ),
  "planned stop": (context: FaultContext) => {
    const box = targetBox(context);
    const role = context.fault.pick % 2 === 0 ? "entry" : "pool";
    const node = box?.[role];
    if (box !== undefined && node?.isAlive === true) {
      const stop = (nowMs: number) => ({ kind: "stopRequested", nowMs }) as const;
      (node as SoakBox["entry"]).deliver(stop);
      context.simulation.schedule.after(2_500, () => {
        if (box[role] === node) {
          context.simulation.kill(box, role, 200);
        }
      });
    }
  },
  "noisy network": (context: FaultContext) => {
    const { simulation } = context;
    simulation.network.noise = { lost: 0.05, duplicate: 0.05, late: 0.05 };
    scheduleUndo(context, () => {
      simulation.network.noise = { lost: 0, duplicate: 0, late: 0 };
    });
  },
} as const;

/** Mean time between two faults, in milliseconds. */
const MEAN_FAULT_INTERVAL_MS = 400;

/**
 * Generates the faults of a run.
 *
 * @param seed - Seed of the run.
 * @param untilMs - Time before which faults begin, in milliseconds.
 * @returns The faults, in order of time.
 */
export function generateFaults(seed: number, untilMs: number): ReadonlyArray<Fault> {
  const random = prand.xoroshiro128plus(seed ^ 0x5eed);
  const randomUpTo = (max: number) => prand.unsafeUniformIntDistribution(0, max, random);
  const kinds = Object.keys(FAULTS) as ReadonlyArray<FaultKind>;
  const faults: Array<Fault> = [];
  for (let atMs = 3_000; atMs < untilMs; atMs += randomUpTo(2 * MEAN_FAULT_INTERVAL_MS)) {
    const kind = kinds[randomUpTo(kinds.length - 1)] ?? "outage";
    faults.push({ atMs, kind, pick: randomUpTo(1_000), durationMs: 100 + randomUpTo(6_000) });
  }
  return faults;
}

/**
 * Injects a fault.
 *
 * @param simulation - The simulation.
 * @param services - Services of the simulation.
 * @param fault - Fault to inject.
 */
export function injectFault(
  simulation: SoakSimulation,
  services: SoakServices,
  fault: Fault,
): void {
  simulation.countEvent(fault.kind);
  FAULTS[fault.kind]({ simulation, services, fault });
}
