// A leaf's entry was replaced by one that cannot be read, as another writer may do. The box passed the
// change over and went on sending work by the old entry; a list took the entry for missing and kept the leaf
// for its time of grace; and peers were told of neither, so that they kept it for good.
//
// Such an entry names no leaf to use from then on; all others hold.

import t from "tap";
import { applyLeafList, EMPTY_LEAF_TABLE } from "../leafs/mod.js";
import type { StoreObject } from "../platform/mod.js";
import { LeafRegistry } from "./leaf_registry.js";
import { applySharedState, selectSharedState } from "./shared_state.js";

const GRACE_MS = 2_000;

function entry(name: string, revision: number, fields: object = {}): StoreObject {
  const place = { service: "s", address: "10.0.0.1:80", zone: "a", version: "v1" };
  const load = { slots: 2, state: "ready", warmupLeftMs: 0, sequence: 1 };
  return { name, revision, spec: { ...place, ...load, ...fields } };
}

function makeRegistry() {
  const lines: Array<{ readonly text: string; readonly fields: object }> = [];
  const registry = new LeafRegistry({
    telemetry: { event: (_level, text, fields = {}) => lines.push({ text, fields }) },
    nowMs: () => 0,
    graceMs: () => GRACE_MS,
    onChange: () => undefined,
  });
  registry.applyList({ objects: [entry("a", 5), entry("b", 6)], revision: 10 });
  return { registry, lines };
}

const SPOILED = { slots: "many" };

t.test("a leaf whose entry changes to one that cannot be read is no longer used", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 11, SPOILED)], removed: [], revision: 11 });
  t.same([...registry.table.byId.keys()], ["b"]);
  t.equal(registry.table.expiresAtMs.size, 0, "it has no time to come back");
});

t.test("a list with an entry that cannot be read ends that leaf without grace", async (t) => {
  const { registry } = makeRegistry();
  registry.applyList({ objects: [entry("a", 11, SPOILED), entry("b", 6)], revision: 12 });
  t.same([...registry.table.byId.keys()], ["b"]);
});

t.test("peers hear of an entry that can no longer be read", async (t) => {
  const { registry } = makeRegistry();
  const before = registry.table;
  registry.applyChanges({ changed: [entry("a", 11, SPOILED)], removed: [], revision: 11 });
  const shared = selectSharedState(
    {
      configuration: undefined,
      leafs: registry.table,
      news: registry.changeLog,
      leafsRevision: registry.revision,
      nowMs: 0,
    },
    { configurationVersion: 0, leafsRevision: 10 },
  );
  t.same(shared.removed, ["a"]);
  t.same([...applySharedState(before, shared, 0).byId.keys()], ["b"]);
});

t.test("a leaf is used again once its entry can be read again", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 11, SPOILED)], removed: [], revision: 11 });
  registry.applyChanges({ changed: [entry("a", 12)], removed: [], revision: 12 });
  t.same([...registry.table.byId.keys()].sort(), ["a", "b"]);
});

t.test("a hundred strange entries of one call share one line of the log", async (t) => {
  const { registry, lines } = makeRegistry();
  const changed = Array.from({ length: 100 }, (_, index) => entry(`x-${index}`, 11, SPOILED));
  registry.applyChanges({ changed, removed: [], revision: 11 });
  const passedOver = lines.filter(({ text }) => text.includes("passed over"));
  t.equal(passedOver.length, 1);
  t.match(passedOver[0]?.fields, { count: 100 });
  t.ok(JSON.stringify(passedOver).length < 1_500, "its length is bounded");
});

t.test("an older entry never brings an earlier incarnation of a leaf back", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 21, { born: 2 })], removed: [], revision: 21 });
  const earlier = entry("a", 11, { born: 1, state: "draining" });
  registry.applyList({ objects: [earlier, entry("b", 6)], revision: 22 });
  t.match(registry.table.byId.get("a"), { bornAtEpochMs: 2, draining: false });
});

t.test("a list of what peers know keeps the newer of two entries of one leaf", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 21, { born: 2 })], removed: [], revision: 21 });
  const known = [...registry.table.byId.values()];
  const older = known.map((leaf) => ({ ...leaf, ...{ bornAtEpochMs: 1, entryRevision: 11 } }));
  const options = { nowMs: 0, graceMs: 0 };
  const table = applyLeafList(applyLeafList(EMPTY_LEAF_TABLE, known, options), older, options);
  t.match(table.byId.get("a"), { bornAtEpochMs: 2 });
});

t.test(
  "a leaf that starts again under its id is told in the log, once for each incarnation",
  async (t) => {
    const { registry, lines } = makeRegistry();
    registry.applyChanges({ changed: [entry("a", 11, { born: 5 })], removed: [], revision: 11 });
    registry.applyChanges({ changed: [entry("a", 12, { born: 5 })], removed: [], revision: 12 });
    t.equal(lines.filter(({ text }) => text.includes("started again")).length, 1);
  },
);
