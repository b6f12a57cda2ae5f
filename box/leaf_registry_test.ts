import t from "tap";
import type { StoreObject } from "../platform/mod.js";
import { LeafRegistry } from "./leaf_registry.js";

function entry(name: string, revision: number, state = "ready"): StoreObject {
  const spec = { service: "s", address: "10.0.0.1:80", zone: "a", slots: 2, state, sequence: 1 };
  return { name, revision, spec };
}

function makeRegistry() {
  let changes = 0;
  const registry = new LeafRegistry({
    telemetry: { event: () => undefined },
    nowMs: () => 0,
    graceMs: () => 0,
    onChange: () => {
      changes += 1;
    },
  });
  return { registry, changes: () => changes };
}

t.test("a list that is older than what peers have told changes nothing", async (t) => {
  const { registry } = makeRegistry();
  registry.takeList({ objects: [entry("a", 5), entry("b", 6)], revision: 10 });
  const told = registry.table.byId.get("a");
  t.ok(told);
  const draining = { ...(told as NonNullable<typeof told>), draining: true };
  registry.takeShared({ leafs: [draining], removed: ["b"], lapsed: [], leafsRevision: 20 });
  registry.takeList({ objects: [entry("a", 5), entry("b", 6)], revision: 15 });
  t.equal(registry.table.byId.get("a")?.draining, true);
  t.notOk(registry.table.byId.has("b"));
  t.equal(registry.revision, 20);
});

t.test("changes that peers have told already are passed over, later ones are taken", async (t) => {
  const { registry, changes } = makeRegistry();
  registry.takeList({ objects: [entry("a", 5)], revision: 10 });
  registry.takeShared({ leafs: [], removed: ["a"], lapsed: [], leafsRevision: 20 });
  registry.takeChanges({ changed: [entry("a", 19)], removed: [], revision: 19 });
  t.notOk(registry.table.byId.has("a"));
  t.equal(changes(), 2);
  registry.takeChanges({ changed: [entry("a", 21)], removed: [], revision: 21 });
  t.ok(registry.table.byId.has("a"));
  t.same(registry.news.since(20), { changed: ["a"], removed: [] });
});

t.test("what a peer tells is passed over where this box is ahead", async (t) => {
  const { registry, changes } = makeRegistry();
  registry.takeList({ objects: [entry("a", 5)], revision: 10 });
  registry.takeShared({ leafs: [], lapsed: [], leafsRevision: 9 });
  t.ok(registry.table.byId.has("a"));
  t.equal(changes(), 1);
});
