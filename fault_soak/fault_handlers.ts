/**
 * Injects each kind of fault from outside the programs, and removes it again.
 *
 * @module
 */
import { MALFORMED_ENTRIES } from "../platform/standin/mod.js";
import { delay } from "../standins/waiting.js";
import type { FaultKind, PlannedFault } from "./fault_plan.js";
import { HOST } from "./soak_configuration.js";
import { CRASHING_PATH_PART, type SoakBox, type SoakFleet, type SoakLeaf } from "./soak_fleet.js";

/**
 * Injects a fault and removes it after its duration.
 *
 * @param soak - The programs.
 * @param fault - The fault.
 * @returns Whether the fault was applicable.
 */
type FaultHandler = (soak: SoakFleet, fault: PlannedFault) => Promise<boolean>;

/** Delays of a slow link and of a slow store, in milliseconds. */
const DELAY_MS = { link: 120, store: 400 } as const;

/** Number of times that a crash-inducing query is sent to each box. */
const CRASHING_QUERY_ROUNDS = 4;

/** Time for which the store is down while it is restored from a backup, in milliseconds. */
const RESTORE_DOWNTIME_MS = 200;

/** Time from then until the missing entries are written again, in milliseconds. */
const REWRITE_DELAY_MS = 700;

/** Data centres that may be evacuated, one at a time. */
const DATA_CENTRES = ["hall-a", "hall-b"] as const;

/** Minimum time of an evacuation, in milliseconds. */
const MIN_EVACUATION_MS = 4_000;

/** Time for which a draining leaf continues to serve, in milliseconds. */
const DRAIN_MS = 3_500;

/** Kinds that stop boxes or separate them from the store, and so extend deadlines. */
export const DISTURBING_KINDS: ReadonlySet<FaultKind> = new Set([
  "storeSilent",
  "storeDown",
  "storeSlow",
  "storeForgets",
  "storeOlder",
  "boxCutFromStore",
  "storeConnectionsSilent",
  "allStoreConnectionsSilent",
  "boxPaused",
  "boxKilled",
  "boxStopped",
]);

/** Handlers by kind of fault. */
export const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  leafDelayed: onLeafLink(async ({ link }, forMs) => {
    link.injectFault({ delayMs: DELAY_MS.link });
    await delay(forMs);
    link.clearFaults();
  }),
  leafReset: onLeafLink(async ({ link }, forMs) => {
    link.reset();
    await delay(forMs / 2);
    link.reset();
  }),
  leafCutOneWay: onLeafLink(async ({ link }, forMs) => {
    link.injectFault({ blocksResponses: true });
    await delay(forMs);
    link.clearFaults();
  }),
  leafSilent: onLeafLink(async ({ link }, forMs) => {
    link.injectFault({ blocksResponses: true, blocksRequests: true });
    await delay(forMs);
    link.clearFaults();
  }),
  leafConnectionsSilent: onLeafLink(async ({ link }) => link.stallOpenConnections()),
  leafFull: onLeaf(async ({ leaf }, forMs) => {
    leaf.configure({ full: true });
    await delay(forMs);
    leaf.configure({ full: false });
  }),
  leafFails: onLeaf(async ({ leaf }, forMs) => {
    leaf.configure({ statusCode: 500 });
    await delay(forMs);
    leaf.configure({ statusCode: 200 });
  }),
  leafReplaced: async (soak, { target }) => {
    const replaced = pick(
      soak.leafs.filter(({ drainingSinceMs }) => drainingSinceMs === Number.POSITIVE_INFINITY),
      target,
    );
    if (replaced === undefined) {
      return false;
    }
    await soak.addLeaf(replaced.service, replaced.dataCentre, { build: replaced.build });
    replaced.drainingSinceMs = performance.now();
    replaced.leaf.drain();
    await delay(DRAIN_MS);
    soak.removeLeaf(replaced);
    return true;
  },
  leafRestarted: async (soak, { target, forMs }) => {
    const replaced = pick(
      soak.leafs.filter(({ drainingSinceMs }) => drainingSinceMs === Number.POSITIVE_INFINITY),
      target,
    );
    if (replaced === undefined) {
      return false;
    }
    soak.removeLeaf(replaced);
    replaced.hasEnded = true;
    replaced.leaf.crash();
    await delay(forMs / 4);
    const { leafId } = replaced.leaf;
    await soak.addLeaf(replaced.service, replaced.dataCentre, { leafId, build: replaced.build });
    return true;
  },
  strangeEntries: async ({ fleet }, { target, forMs }) => {
    for (const [index, spec] of MALFORMED_ENTRIES.entries()) {
      fleet.platform.put("servers", `strange-${target}-${index}`, spec);
    }
    await delay(forMs);
    for (const index of MALFORMED_ENTRIES.keys()) {
      fleet.platform.remove("servers", `strange-${target}-${index}`);
    }
    return true;
  },
  crashingQuery: async ({ boxes, fleet }, { target, forMs }) => {
    const path = `/sweep/?${CRASHING_PATH_PART}${target}`;
    for (let round = 1; round <= CRASHING_QUERY_ROUNDS; round++) {
      for (const [index, { box }] of boxes.entries()) {
        const requestId = `crashing-${target}-${round}-${index}`;
        await fleet.sendRequest(box, { path, requestId, host: HOST }).catch(() => undefined);
      }
      await delay(forMs);
    }
    return true;
  },
  storeSilent: onStore("silent"),
  storeDown: onStore("down"),
  storeSlow: async ({ fleet }, { forMs }) => {
    fleet.platform.setFaults({ delayMs: DELAY_MS.store });
    await delay(forMs);
    fleet.platform.setFaults({ delayMs: 0 });
    return true;
  },
  storeForgets: async ({ fleet }) => {
    fleet.platform.compact();
    return true;
  },
  storeOlder: async (soak, { forMs }) => {
    const { platform } = soak.fleet;
    const copiedRevision = platform.revision();
    await delay(forMs);
    platform.setFaults({ mode: "down" });
    platform.restore(copiedRevision);
    await delay(RESTORE_DOWNTIME_MS);
    platform.setFaults({ mode: "up" });
    await delay(REWRITE_DELAY_MS);
    soak.rewriteEntries();
    return true;
  },
  dataCentreEmptied: async (soak, { target, forMs }) => {
    const dataCentre = pick(DATA_CENTRES, target);
    const isEvacuating = soak.evacuations.some(
      ({ untilMs }) => untilMs === Number.POSITIVE_INFINITY,
    );
    if (dataCentre === undefined || isEvacuating) {
      return false;
    }
    const evacuation = soak.evacuate(dataCentre);
    await delay(MIN_EVACUATION_MS + forMs);
    soak.endEvacuation(evacuation);
    return true;
  },
  boxCutFromStore: async ({ boxes }, { target, forMs }) => {
    const chosen = pick(boxes, target);
    chosen?.storeLink.injectFault({ blocksResponses: true, blocksRequests: true });
    await delay(forMs);
    chosen?.storeLink.clearFaults();
    chosen?.storeLink.reset();
    return chosen !== undefined;
  },
  storeConnectionsSilent: async (soak, { target }) => {
    const chosen = pick(soak.boxes, target);
    chosen?.storeLink.stallOpenConnections();
    soak.changeConfiguration();
    return chosen !== undefined;
  },
  allStoreConnectionsSilent: async (soak) => {
    for (const { storeLink } of soak.boxes) {
      storeLink.stallOpenConnections();
    }
    soak.changeConfiguration();
    return true;
  },
  boxPaused: onBox(async ({ box }, forMs) => {
    box.process.signal("SIGSTOP");
    await delay(forMs);
    box.process.signal("SIGCONT");
  }),
  boxKilled: onBox(async (chosen, forMs, { fleet }) => {
    chosen.box.process.signal("SIGKILL");
    await delay(forMs / 4);
    await restart(chosen, fleet);
  }),
  boxStopped: onBox(async (chosen, _forMs, { fleet }) => {
    chosen.isStopping = true;
    chosen.box.process.signal("SIGTERM");
    await restart(chosen, fleet);
    chosen.isStopping = false;
  }),
  configurationChanged: async (soak) => {
    soak.changeConfiguration();
    return true;
  },
};

async function restart(chosen: SoakBox, fleet: SoakFleet["fleet"]): Promise<void> {
  await chosen.box.process.exited;
  chosen.endedCount += 1;
  await fleet.restart(chosen.box);
  chosen.incarnation += 1;
}

function pick<T>(candidates: ReadonlyArray<T>, target: number): T | undefined {
  return candidates[target % Math.max(1, candidates.length)];
}

/** Builds a handler for faults of a leaf's link, and records the period of the fault. */
function onLeafLink(act: (chosen: SoakLeaf, forMs: number) => Promise<void>): FaultHandler {
  return onLeaf(async (chosen, forMs) => {
    const fromMs = performance.now();
    await act(chosen, forMs);
    chosen.linkFaults.push({ fromMs, untilMs: performance.now() });
  });
}

/** Builds a handler for faults of a leaf. */
function onLeaf(act: (chosen: SoakLeaf, forMs: number) => Promise<void>): FaultHandler {
  return async ({ leafs }, { target, forMs }) => {
    const chosen = pick(leafs, target);
    if (chosen === undefined) {
      return false;
    }
    await act(chosen, forMs);
    return true;
  };
}

/**
 * Builds a handler for faults of the store; operators change the configuration as soon as it is
 * reachable again.
 */
function onStore(mode: "silent" | "down"): FaultHandler {
  return async (soak, { forMs }) => {
    soak.fleet.platform.setFaults({ mode });
    await delay(forMs);
    soak.fleet.platform.setFaults({ mode: "up" });
    soak.changeConfiguration();
    return true;
  };
}

/** Builds a handler for faults of a box's process, of which each box has only one at a time. */
function onBox(
  act: (chosen: SoakBox, forMs: number, soak: SoakFleet) => Promise<void>,
): FaultHandler {
  return async (soak, { target, forMs }) => {
    const chosen = pick(
      soak.boxes.filter(({ hasProcessFault }) => !hasProcessFault),
      target,
    );
    if (chosen === undefined) {
      return false;
    }
    chosen.hasProcessFault = true;
    await act(chosen, forMs, soak);
    chosen.hasProcessFault = false;
    return true;
  };
}
