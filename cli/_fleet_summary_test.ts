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

function queriedBox(box: string, dataCentre: string, fields?: Partial<BoxReport>): QueriedBox {
  return { box, dataCentre, report: reportOf(box, fields) };
}

const BEHIND = { configuration: { version: 11, source: "store", inForceForMs: 1 } } as const;

t.test("summariseFleet() counts differing boxes by data centre", async (t) => {
  const boxes = [
    ...Array.from({ length: 60 }, (_, index) => queriedBox(`a-${index}`, "hall-a")),
    queriedBox("a-60", "hall-a", BEHIND),
    queriedBox("a-61", "hall-a", { phase: "finishing" }),
    ...Array.from({ length: 30 }, (_, index) => queriedBox(`b-${index}`, "hall-b")),
    { box: "b-30", dataCentre: "hall-b", report: undefined },
    queriedBox("b-31", "hall-b", { isStoreReachable: false, knownAgoMs: 60_000 }),
    queriedBox("b-32", "hall-b", { extraCallsLeft: { search: 0.2 } }),
  ];
  t.same(summariseFleet(boxes), [
    "hall-a: 62 boxes, 60 healthy with configuration 12, 1 behind, 1 not ready",
    "hall-b: 33 boxes, 30 healthy with configuration 12, 1 not answering, 1 disconnected from the store, 1 budgets exhausted",
  ]);
});

t.test("evacuationsOf() counts the boxes with an evacuation in effect", async (t) => {
  const boxes = [
    queriedBox("a", "hall-a", { evacuated: ["hall-b"] }),
    queriedBox("b", "hall-a", { evacuated: ["hall-b", "hall-c"] }),
    queriedBox("c", "hall-a"),
    { box: "d", dataCentre: "hall-a", report: undefined },
  ];
  t.same(evacuationsOf(boxes), [
    { dataCentre: "hall-b", activeCount: 2, answeredCount: 3 },
    { dataCentre: "hall-c", activeCount: 1, answeredCount: 3 },
  ]);
});

t.test("differencesOf() lists each condition in which a box differs", async (t) => {
  t.same(differencesOf(queriedBox("a", "hall-a"), 12), []);
  t.same(differencesOf(queriedBox("a", "hall-a", { ...BEHIND, phase: "starting" }), 12), [
    "not ready",
    "behind",
  ]);
});

t.test(
  "flaggedQueriesOf() uses the latest state of each query and omits cleared ones",
  async (t) => {
    const query = { fingerprint: "f", lostLeafs: 4, lostTrials: 2, suspectedAgoMs: 900 } as const;
    const quarantined = { ...query, standing: "quarantined", changedAgoMs: 300 } as const;
    const before = { ...query, standing: "suspected", changedAgoMs: 800 } as const;
    const cleared = {
      ...quarantined,
      fingerprint: "g",
      standing: "cleared",
      changedAgoMs: 10,
    } as const;
    const boxes = [
      queriedBox("a", "hall-a", {
        queries: [before, { ...cleared, standing: "suspected", changedAgoMs: 99 }],
      }),
      queriedBox("b", "hall-a", { queries: [quarantined, cleared] }),
      { box: "c", dataCentre: "hall-a", report: undefined },
    ];
    t.same(flaggedQueriesOf(boxes), [quarantined]);
  },
);
