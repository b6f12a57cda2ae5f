import t from "tap";
import { applyLeafChanges, EMPTY_LEAF_TABLE, type Leaf, type LeafTable } from "../leafs/mod.js";
import { LeafChangeLog } from "./leaf_change_log.js";
import {
  applySharedState,
  clusterStateUrl,
  decodeClusterStateUrl,
  decodeSharedState,
  encodeSharedState,
  type SharedState,
  selectSharedState,
} from "./shared_state.js";

const WITHOUT_GRACE = { nowMs: 0, graceMs: 0 };
const NO_PROGRESS = { configurationVersion: 0, leafsRevision: 0 };

function leaf(leafId: string, draining = false): Leaf {
  const location = { address: "10.0.0.1", port: 80, dataCentre: "a" };
  const incarnation = { bornAtEpochMs: 1, entryRevision: 1, sequence: 1 };
  return { leafId, ...incarnation, service: "s", ...location, slots: 2, draining, warmingForMs: 0 };
}

/** Returns the state of a box that knows leafs `a` and `b` at revision 10. */
function initialState(): { readonly changeLog: LeafChangeLog; readonly table: LeafTable } {
  const changeLog = new LeafChangeLog();
  changeLog.reset(10);
  const changes = { changed: [leaf("a"), leaf("b")], removed: [] };
  return { changeLog, table: applyLeafChanges(EMPTY_LEAF_TABLE, changes, WITHOUT_GRACE) };
}

function selectSince10(
  changeLog: LeafChangeLog,
  leafs: LeafTable,
  leafsRevision: number,
): SharedState {
  const snapshot = { configuration: undefined, leafs, changeLog, leafsRevision, nowMs: 1_000 };
  return selectSharedState(snapshot, { configurationVersion: 0, leafsRevision: 10 });
}

t.test("an invalid leaf of a peer counts as removed and costs no other leaf", async (t) => {
  const { table } = initialState();
  const invalid = [
    { ...leaf("a"), port: 70_000 },
    { ...leaf("c"), address: "leaf.example" },
  ];
  const leafs = [...invalid, null as unknown as Leaf, leaf("b", true), leaf("d")];
  for (const [removed, expected] of [
    [undefined, ["b", "d"]],
    [["x"], ["b", "d"]],
  ] as const) {
    const counts: Array<number> = [];
    const sent = { leafs, lapsed: [], leafsRevision: 12, ...(removed && { removed }) };
    const shared = decodeSharedState(encodeSharedState(sent), {
      onInvalidLeafs: (count) => counts.push(count),
    });
    t.same([...applySharedState(table, shared, 0).byId.keys()].sort(), expected);
    t.same(counts, [3]);
  }
});

t.test("a peer without state receives all leafs", async (t) => {
  const { changeLog, table } = initialState();
  const snapshot = {
    configuration: undefined,
    leafs: table,
    changeLog,
    leafsRevision: 10,
    nowMs: 0,
  };
  const shared = decodeSharedState(encodeSharedState(selectSharedState(snapshot, NO_PROGRESS)));
  t.equal(shared.removed, undefined);
  const stale = applyLeafChanges(
    EMPTY_LEAF_TABLE,
    { changed: [leaf("old")], removed: [] },
    WITHOUT_GRACE,
  );
  t.same([...applySharedState(stale, shared, 0).byId.keys()].sort(), ["a", "b"]);
});

t.test("a peer slightly behind receives only changes and removals", async (t) => {
  const { changeLog, table } = initialState();
  const after = applyLeafChanges(
    table,
    { changed: [leaf("b", true)], removed: ["a"] },
    WITHOUT_GRACE,
  );
  changeLog.record({ changed: ["b"], removed: ["a"], revision: 12 });
  const shared = decodeSharedState(encodeSharedState(selectSince10(changeLog, after, 12)));
  t.match(shared, { leafs: [{ leafId: "b" }], removed: ["a"], lapsed: [], leafsRevision: 12 });
  const merged = applySharedState(table, shared, 5_000);
  t.same([...merged.byId.keys()], ["b"]);
  t.equal(merged.byId.get("b")?.draining, true);
});

t.test("a peer keeps an expired leaf for the remaining grace period", async (t) => {
  const { changeLog, table } = initialState();
  const removal = { nowMs: 0, graceMs: 2_000 };
  const after = applyLeafChanges(table, { changed: [], removed: ["a"] }, removal);
  changeLog.record({ changed: [], removed: ["a"], revision: 12 });
  const merged = applySharedState(table, selectSince10(changeLog, after, 12), 70_000);
  t.ok(merged.byId.has("a"));
  t.equal(merged.expiresAtMs.get("a"), 71_000);
});

t.test(
  "decodeClusterStateUrl() parses the output of clusterStateUrl(), and 0 for invalid values",
  async (t) => {
    const progress = { configurationVersion: 12, leafsRevision: 345 };
    t.same(decodeClusterStateUrl(clusterStateUrl(progress)), progress);
    t.same(decodeClusterStateUrl("/peer/v1/knowledge?leafs=x"), NO_PROGRESS);
  },
);
