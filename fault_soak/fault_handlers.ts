/**
 * Brings each kind of fault about, from outside the programs, and ends it again.
 *
 * @module
 */
import { MALFORMED_ENTRIES } from "../platform/standin/mod.js";
import { pause } from "../standins/waiting.js";
import type { FaultKind, PlannedFault } from "./fault_plan.js";
import { ENDS_LEAFS, HOST, type SoakBox, type SoakFleet, type SoakLeaf } from "./soak_fleet.js";

/**
 * Brings a fault about and ends it; tells whether it could happen at all.
 *
 * @param soak - The programs.
 * @param fault - The fault.
 */
type FaultHandler = (soak: SoakFleet, fault: PlannedFault) => Promise<boolean>;

/** Delay of a slow link and of a slow store, in milliseconds. */
const SLOW_MS = { link: 120, store: 400 } as const;

/** How often a query that ends leafs comes to each box. */
const CRASHING_ROUNDS = 4;

/** Time that the store is away before it comes back older, and until all is written again, in milliseconds. */
const AWAY_MS = 200;
const WRITE_AGAIN_MS = 700;

/** Data centres that are emptied, one at a time, and for how long at least, in milliseconds. */
const DATA_CENTRES = ["hall-a", "hall-b"] as const;
const EMPTY_MS = 4_000;

/** Time that a leaf that drains serves on, in milliseconds. */
const DRAIN_MS = 3_500;

/** Kinds that keep boxes from the store or from running, so that bounds on time begin anew after them. */
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

/** What brings each kind about. */
export const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  leafDelayed: onLeaf(async ({ link }, forMs) => {
    link.harm({ delayMs: SLOW_MS.link });
    await pause(forMs);
    link.heal();
  }),
  leafReset: onLeaf(async ({ link }, forMs) => {
    link.reset();
    await pause(forMs / 2);
    link.reset();
  }),
  leafCutOneWay: onLeaf(async ({ link }, forMs) => {
    link.harm({ holdsAnswers: true });
    await pause(forMs);
    link.heal();
  }),
  leafSilent: onLeaf(async ({ link }, forMs) => {
    link.harm({ holdsAnswers: true, holdsRequests: true });
    await pause(forMs);
    link.heal();
  }),
  leafConnectionsSilent: onLeaf(async ({ link }) => link.silence()),
  leafFull: onLeaf(async ({ leaf }, forMs) => {
    leaf.configure({ full: true });
    await pause(forMs);
    leaf.configure({ full: false });
  }),
  leafFails: onLeaf(async ({ leaf }, forMs) => {
    leaf.configure({ statusCode: 500 });
    await pause(forMs);
    leaf.configure({ statusCode: 200 });
  }),
  leafReplaced: async (soak, { target }) => {
    const old = pick(
      soak.leafs.filter(({ drainingSinceMs }) => drainingSinceMs === Number.POSITIVE_INFINITY),
      target,
    );
    if (old === undefined) {
      return false;
    }
    await soak.addLeaf(old.service, old.dataCentre);
    old.drainingSinceMs = performance.now();
    old.leaf.drain();
    await pause(DRAIN_MS);
    soak.leafs.splice(soak.leafs.indexOf(old), 1);
    return true;
  },
  leafRestarted: async (soak, { target, forMs }) => {
    const old = pick(
      soak.leafs.filter(({ drainingSinceMs }) => drainingSinceMs === Number.POSITIVE_INFINITY),
      target,
    );
    if (old === undefined) {
      return false;
    }
    soak.leafs.splice(soak.leafs.indexOf(old), 1);
    old.hasEnded = true;
    old.leaf.crash();
    await pause(forMs / 4);
    await soak.addLeaf(old.service, old.dataCentre, { leafId: old.leaf.leafId });
    return true;
  },
  strangeEntries: async ({ fleet }, { target, forMs }) => {
    for (const [index, spec] of MALFORMED_ENTRIES.entries()) {
      fleet.platform.put("servers", `strange-${target}-${index}`, spec);
    }
    await pause(forMs);
    for (const index of MALFORMED_ENTRIES.keys()) {
      fleet.platform.remove("servers", `strange-${target}-${index}`);
    }
    return true;
  },
  crashingQuery: async ({ boxes, fleet }, { target, forMs }) => {
    const path = `/sweep/?${ENDS_LEAFS}${target}`;
    for (let round = 1; round <= CRASHING_ROUNDS; round++) {
      for (const [index, { box }] of boxes.entries()) {
        const requestId = `crashing-${target}-${round}-${index}`;
        await fleet.sendRequest(box, { path, requestId, host: HOST }).catch(() => undefined);
      }
      await pause(forMs);
    }
    return true;
  },
  storeSilent: onStore("silent"),
  storeDown: onStore("down"),
  storeSlow: async ({ fleet }, { forMs }) => {
    fleet.platform.setFaults({ delayMs: SLOW_MS.store });
    await pause(forMs);
    fleet.platform.setFaults({ delayMs: 0 });
    return true;
  },
  storeForgets: async ({ fleet }) => {
    fleet.platform.compact();
    return true;
  },
  storeOlder: async (soak, { forMs }) => {
    const { platform } = soak.fleet;
    const copied = platform.revision();
    await pause(forMs);
    platform.setFaults({ mode: "down" });
    platform.restore(copied);
    await pause(AWAY_MS);
    platform.setFaults({ mode: "up" });
    await pause(WRITE_AGAIN_MS);
    soak.writeAgain();
    return true;
  },
  dataCentreEmptied: async (soak, { target, forMs }) => {
    const dataCentre = pick(DATA_CENTRES, target);
    const isEmpty = soak.evacuations.some(({ untilMs }) => untilMs === Number.POSITIVE_INFINITY);
    if (dataCentre === undefined || isEmpty) {
      return false;
    }
    const evacuation = soak.evacuate(dataCentre);
    await pause(EMPTY_MS + forMs);
    soak.endEvacuation(evacuation);
    return true;
  },
  boxCutFromStore: async ({ boxes }, { target, forMs }) => {
    const hit = pick(boxes, target);
    hit?.storeLink.harm({ holdsAnswers: true, holdsRequests: true });
    await pause(forMs);
    hit?.storeLink.heal();
    hit?.storeLink.reset();
    return hit !== undefined;
  },
  storeConnectionsSilent: async (soak, { target }) => {
    const hit = pick(soak.boxes, target);
    hit?.storeLink.silence();
    soak.changeConfiguration();
    return hit !== undefined;
  },
  allStoreConnectionsSilent: async (soak) => {
    for (const { storeLink } of soak.boxes) {
      storeLink.silence();
    }
    soak.changeConfiguration();
    return true;
  },
  boxPaused: onBox(async ({ box }, forMs) => {
    box.process.signal("SIGSTOP");
    await pause(forMs);
    box.process.signal("SIGCONT");
  }),
  boxKilled: onBox(async (hit, forMs, { fleet }) => {
    hit.box.process.signal("SIGKILL");
    await pause(forMs / 4);
    await fleet.restart(hit.box);
    hit.life += 1;
  }),
  boxStopped: onBox(async (hit, _forMs, { fleet }) => {
    hit.isStopping = true;
    hit.box.process.signal("SIGTERM");
    await fleet.restart(hit.box);
    hit.life += 1;
    hit.isStopping = false;
  }),
  configurationChanged: async (soak) => {
    soak.changeConfiguration();
    return true;
  },
};

function pick<T>(candidates: ReadonlyArray<T>, target: number): T | undefined {
  return candidates[target % Math.max(1, candidates.length)];
}

function onLeaf(act: (hit: SoakLeaf, forMs: number) => Promise<void>): FaultHandler {
  return async ({ leafs }, { target, forMs }) => {
    const hit = pick(leafs, target);
    if (hit === undefined) {
      return false;
    }
    await act(hit, forMs);
    return true;
  };
}

/** The store takes what operators wanted to change meanwhile as soon as it is back. */
function onStore(mode: "silent" | "down"): FaultHandler {
  return async (soak, { forMs }) => {
    soak.fleet.platform.setFaults({ mode });
    await pause(forMs);
    soak.fleet.platform.setFaults({ mode: "up" });
    soak.changeConfiguration();
    return true;
  };
}

/** A box is ended or paused by one fault at a time; its other faults may overlap with that. */
function onBox(act: (hit: SoakBox, forMs: number, soak: SoakFleet) => Promise<void>): FaultHandler {
  return async (soak, { target, forMs }) => {
    const hit = pick(
      soak.boxes.filter(({ isHit }) => !isHit),
      target,
    );
    if (hit === undefined) {
      return false;
    }
    hit.isHit = true;
    await act(hit, forMs, soak);
    hit.isHit = false;
    return true;
  };
}
