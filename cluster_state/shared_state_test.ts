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

const AT_ONCE = { nowMs: 0, graceMs: 0 };
const BEHIND = { configurationVersion: 0, leafsRevision: 0 };

function leaf(leafId: string, draining = false): Leaf {
  const place = { address: "10.0.0.1", port: 80, dataCentre: "a" };
  const life = { bornAtEpochMs: 1, entryRevision: 1, sequence: 1 };
  return { leafId, ...life, service: "s", ...place, slots: 2, draining, warmingForMs: 0 };
}

/** A box that knows leafs `a` and `b` at revision 10. */
function listed(): { readonly news: LeafChangeLog; readonly table: LeafTable } {
  const news = new LeafChangeLog();
  news.reset(10);
  const changes = { changed: [leaf("a"), leaf("b")], removed: [] };
  return { news, table: applyLeafChanges(EMPTY_LEAF_TABLE, changes, AT_ONCE) };
}

function share(news: LeafChangeLog, leafs: LeafTable, leafsRevision: number): SharedState {
  const known = { configuration: undefined, leafs, news, leafsRevision, nowMs: 1_000 };
  return selectSharedState(known, { configurationVersion: 0, leafsRevision: 10 });
}

t.test("who knows nothing is handed all leafs", async (t) => {
  const { news, table } = listed();
  const known = { configuration: undefined, leafs: table, news, leafsRevision: 10, nowMs: 0 };
  const shared = decodeSharedState(encodeSharedState(selectSharedState(known, BEHIND)));
  t.equal(shared.removed, undefined);
  const stale = applyLeafChanges(
    EMPTY_LEAF_TABLE,
    { changed: [leaf("old")], removed: [] },
    AT_ONCE,
  );
  t.same([...applySharedState(stale, shared, 0).byId.keys()].sort(), ["a", "b"]);
});

t.test("who is a little behind is handed what has changed and what has gone", async (t) => {
  const { news, table } = listed();
  const after = applyLeafChanges(table, { changed: [leaf("b", true)], removed: ["a"] }, AT_ONCE);
  news.record({ changed: ["b"], removed: ["a"], revision: 12 });
  const shared = decodeSharedState(encodeSharedState(share(news, after, 12)));
  t.match(shared, { leafs: [{ leafId: "b" }], removed: ["a"], lapsed: [], leafsRevision: 12 });
  const taken = applySharedState(table, shared, 5_000);
  t.same([...taken.byId.keys()], ["b"]);
  t.equal(taken.byId.get("b")?.draining, true);
});

t.test(
  "a leaf that may come back is kept by the other box for the time that is left",
  async (t) => {
    const { news, table } = listed();
    const removal = { nowMs: 0, graceMs: 2_000 };
    const after = applyLeafChanges(table, { changed: [], removed: ["a"] }, removal);
    news.record({ changed: [], removed: ["a"], revision: 12 });
    const taken = applySharedState(table, share(news, after, 12), 70_000);
    t.ok(taken.byId.has("a"));
    t.equal(taken.expiresAtMs.get("a"), 71_000);
  },
);

t.test(
  "decodeKnowledgeUrl() reads what knowledgeUrl() wrote, and no progress from others",
  async (t) => {
    const progress = { configurationVersion: 12, leafsRevision: 345 };
    t.same(decodeClusterStateUrl(clusterStateUrl(progress)), progress);
    t.same(decodeClusterStateUrl("/peer/v1/knowledge?leafs=x"), BEHIND);
  },
);
