import t from "tap";
import { applyLeafChanges, type Leaf, type LeafTable, NO_LEAFS } from "../leafs/mod.js";
import { LeafNews } from "./leaf_news.js";
import {
  applyShared,
  decodeKnowledgeUrl,
  decodeShared,
  encodeShared,
  knowledgeUrl,
  type SharedKnowledge,
  shareKnowledge,
} from "./shared_knowledge.js";

const AT_ONCE = { nowMs: 0, graceMs: 0 };
const BEHIND = { configurationVersion: 0, leafsRevision: 0 };

function leaf(leafId: string, draining = false): Leaf {
  const place = { address: "10.0.0.1", port: 80, dataCentre: "a" };
  const life = { bornAtEpochMs: 1, entryRevision: 1, sequence: 1 };
  return { leafId, ...life, service: "s", ...place, slots: 2, draining, warmingForMs: 0 };
}

/** A box that knows leafs `a` and `b` at revision 10. */
function listed(): { readonly news: LeafNews; readonly table: LeafTable } {
  const news = new LeafNews();
  news.restart(10);
  const changes = { changed: [leaf("a"), leaf("b")], removed: [] };
  return { news, table: applyLeafChanges(NO_LEAFS, changes, AT_ONCE) };
}

function share(news: LeafNews, leafs: LeafTable, leafsRevision: number): SharedKnowledge {
  const known = { configuration: undefined, leafs, news, leafsRevision, nowMs: 1_000 };
  return shareKnowledge(known, { configurationVersion: 0, leafsRevision: 10 });
}

t.test("who knows nothing is handed all leafs", async (t) => {
  const { news, table } = listed();
  const known = { configuration: undefined, leafs: table, news, leafsRevision: 10, nowMs: 0 };
  const shared = decodeShared(encodeShared(shareKnowledge(known, BEHIND)));
  t.equal(shared.removed, undefined);
  const stale = applyLeafChanges(NO_LEAFS, { changed: [leaf("old")], removed: [] }, AT_ONCE);
  t.same([...applyShared(stale, shared, 0).byId.keys()].sort(), ["a", "b"]);
});

t.test("who is a little behind is handed what has changed and what has gone", async (t) => {
  const { news, table } = listed();
  const after = applyLeafChanges(table, { changed: [leaf("b", true)], removed: ["a"] }, AT_ONCE);
  news.note({ changed: ["b"], removed: ["a"], revision: 12 });
  const shared = decodeShared(encodeShared(share(news, after, 12)));
  t.match(shared, { leafs: [{ leafId: "b" }], removed: ["a"], lapsed: [], leafsRevision: 12 });
  const taken = applyShared(table, shared, 5_000);
  t.same([...taken.byId.keys()], ["b"]);
  t.equal(taken.byId.get("b")?.draining, true);
});

t.test(
  "a leaf that may come back is kept by the other box for the time that is left",
  async (t) => {
    const { news, table } = listed();
    const removal = { nowMs: 0, graceMs: 2_000 };
    const after = applyLeafChanges(table, { changed: [], removed: ["a"] }, removal);
    news.note({ changed: [], removed: ["a"], revision: 12 });
    const taken = applyShared(table, share(news, after, 12), 70_000);
    t.ok(taken.byId.has("a"));
    t.equal(taken.dropAtMs.get("a"), 71_000);
  },
);

t.test(
  "decodeKnowledgeUrl() reads what knowledgeUrl() wrote, and no progress from others",
  async (t) => {
    const progress = { configurationVersion: 12, leafsRevision: 345 };
    t.same(decodeKnowledgeUrl(knowledgeUrl(progress)), progress);
    t.same(decodeKnowledgeUrl("/peer/v1/knowledge?leafs=x"), BEHIND);
  },
);
