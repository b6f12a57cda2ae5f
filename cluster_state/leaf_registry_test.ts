import t from "tap";
import type { StoreObject } from "../platform/mod.js";
import { LeafRegistry } from "./leaf_registry.js";

function entry(name: string, revision: number, state = "ready"): StoreObject {
  const fields = { service: "s", address: "10.0.0.1:80", zone: "a", version: "v1" };
  const spec = { ...fields, slots: 2, state, warmupLeftMs: 0, sequence: 1 };
  return { name, revision, spec };
}

function makeRegistry({ nowMs = (): number => 0, graceMs = 0 } = {}) {
  let changes = 0;
  const registry = new LeafRegistry({
    telemetry: { event: () => undefined },
    nowMs,
    graceMs: () => graceMs,
    onChange: () => {
      changes += 1;
    },
  });
  return { registry, changes: () => changes };
}

t.test("a list older than the state of a peer is ignored", async (t) => {
  const { registry } = makeRegistry();
  registry.applyList({ objects: [entry("a", 5), entry("b", 6)], revision: 10 });
  const leaf = registry.table.byId.get("a");
  t.ok(leaf);
  const draining = { ...(leaf as NonNullable<typeof leaf>), draining: true };
  registry.mergeSharedState({ leafs: [draining], removed: ["b"], lapsed: [], leafsRevision: 20 });
  registry.applyList({ objects: [entry("a", 5), entry("b", 6)], revision: 15 });
  t.equal(registry.table.byId.get("a")?.draining, true);
  t.notOk(registry.table.byId.has("b"));
  t.equal(registry.revision, 20);
});

t.test("changes that a peer has already sent are ignored, later ones are applied", async (t) => {
  const { registry, changes } = makeRegistry();
  registry.applyList({ objects: [entry("a", 5)], revision: 10 });
  registry.mergeSharedState({ leafs: [], removed: ["a"], lapsed: [], leafsRevision: 20 });
  registry.applyChanges({ changed: [entry("a", 19)], removed: [], revision: 19 });
  t.notOk(registry.table.byId.has("a"));
  t.equal(changes(), 2);
  registry.applyChanges({ changed: [entry("a", 21)], removed: [], revision: 21 });
  t.ok(registry.table.byId.has("a"));
  t.same(registry.changeLog.since(20), { changed: ["a"], removed: [] });
});

t.test("the state of a peer with an earlier revision is ignored", async (t) => {
  const { registry, changes } = makeRegistry();
  registry.applyList({ objects: [entry("a", 5)], revision: 10 });
  registry.mergeSharedState({ leafs: [], lapsed: [], leafsRevision: 9 });
  t.ok(registry.table.byId.has("a"));
  t.equal(changes(), 1);
});

t.test(
  "a leaf that a peer reports as expired is dropped even while the store is unreachable",
  async (t) => {
    let nowMs = 0;
    const { registry } = makeRegistry({ nowMs: () => nowMs, graceMs: 2_000 });
    registry.applyList({ objects: [entry("a", 5), entry("b", 6)], revision: 10 });
    const leafs = [...registry.table.byId.values()];
    registry.mergeSharedState({ leafs, lapsed: [{ leafId: "a", leftMs: 500 }], leafsRevision: 20 });
    registry.dropExpired({ isStoreReachable: false });
    t.ok(registry.table.byId.has("a"), "its entry may still reappear");
    nowMs = 600;
    registry.dropExpired({ isStoreReachable: false });
    t.same([...registry.table.byId.keys()], ["b"]);
  },
);

t.test(
  "a leaf whose entry only this box misses is kept while the store is unreachable",
  async (t) => {
    let nowMs = 0;
    const { registry } = makeRegistry({ nowMs: () => nowMs, graceMs: 2_000 });
    registry.applyList({ objects: [entry("a", 5), entry("b", 6)], revision: 10 });
    registry.applyList({ objects: [entry("b", 6)], revision: 11 });
    nowMs = 9_000;
    registry.dropExpired({ isStoreReachable: false });
    t.ok(registry.table.byId.has("a"));
    registry.dropExpired({ isStoreReachable: true });
    t.notOk(registry.table.byId.has("a"));
  },
);
