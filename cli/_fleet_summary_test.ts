import t from "tap";
import type { BoxReport } from "../box/box_report.js";
import {
  differencesOf,
  evacuationsOf,
  flaggedQueriesOf,
  type QueriedBox,
  summariseFleet,
} from "./_fleet_summary.js";

function reportOf(box: string, fields: Partial<BoxReport> = {}): BoxReport {
  const configuration = { version: 12, source: "peer", inForceForMs: 5_000 } as const;
  return {
    ...{ box, phase: "ready", configuration, leafsRevision: 40, isWatcher: false },
    ...{ isStoreReachable: true, knownAgoMs: 800, running: 0, members: [], leafs: [] },
    extraCallsLeft: { search: 4 },
    evacuated: [],
    queries: [],
    ...fields,
  };
}

function asked(box: string, dataCentre: string, fields?: Partial<BoxReport>): QueriedBox {
  return { box, dataCentre, report: reportOf(box, fields) };
}

const BEHIND = { configuration: { version: 11, source: "store", inForceForMs: 1 } } as const;

t.test("summariseFleet() counts by data centre what differs", async (t) => {
  const boxes = [
    ...Array.from({ length: 60 }, (_, index) => asked(`a-${index}`, "hall-a")),
    asked("a-60", "hall-a", BEHIND),
    asked("a-61", "hall-a", { phase: "finishing" }),
    ...Array.from({ length: 30 }, (_, index) => asked(`b-${index}`, "hall-b")),
    { box: "b-30", dataCentre: "hall-b", report: undefined },
    asked("b-31", "hall-b", { isStoreReachable: false, knownAgoMs: 60_000 }),
    asked("b-32", "hall-b", { extraCallsLeft: { search: 0.2 } }),
  ];
  t.same(summariseFleet(boxes), [
    "hall-a: 62 boxes, 60 well with configuration 12, 1 behind, 1 not ready",
    "hall-b: 33 boxes, 30 well with configuration 12, 1 not answering, 1 cut from the store, 1 budgets spent",
  ]);
});

t.test("evacuationsOf() tells how many boxes have an evacuation in force", async (t) => {
  const boxes = [
    asked("a", "hall-a", { evacuated: ["hall-b"] }),
    asked("b", "hall-a", { evacuated: ["hall-b", "hall-c"] }),
    asked("c", "hall-a"),
    { box: "d", dataCentre: "hall-a", report: undefined },
  ];
  t.same(evacuationsOf(boxes), [
    { dataCentre: "hall-b", boxes: 2, of: 3 },
    { dataCentre: "hall-c", boxes: 1, of: 3 },
  ]);
});

t.test("differencesOf() names each way in which a box differs", async (t) => {
  t.same(differencesOf(asked("a", "hall-a"), 12), []);
  t.same(differencesOf(asked("a", "hall-a", { ...BEHIND, phase: "starting" }), 12), [
    "not ready",
    "behind",
  ]);
});

t.test(
  "heldQueriesOf() takes the latest word on each query and leaves out what is cleared",
  async (t) => {
    const query = { fingerprint: "f", lostLeafs: 4, lostTrials: 2, suspectedAgoMs: 900 } as const;
    const held = { ...query, standing: "quarantined", changedAgoMs: 300 } as const;
    const before = { ...query, standing: "suspected", changedAgoMs: 800 } as const;
    const lifted = { ...held, fingerprint: "g", standing: "cleared", changedAgoMs: 10 } as const;
    const boxes = [
      asked("a", "hall-a", {
        queries: [before, { ...lifted, standing: "suspected", changedAgoMs: 99 }],
      }),
      asked("b", "hall-a", { queries: [held, lifted] }),
      { box: "c", dataCentre: "hall-a", report: undefined },
    ];
    t.same(flaggedQueriesOf(boxes), [held]);
  },
);
