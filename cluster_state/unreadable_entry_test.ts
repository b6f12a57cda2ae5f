// A leaf whose entry becomes unreadable must no longer be used, on this box and on its peers; other
// entries are not affected.

import t from "tap";
import { applyLeafList, EMPTY_LEAF_TABLE } from "../leafs/mod.js";
import type { StoreObject } from "../platform/mod.js";
import { LeafRegistry } from "./leaf_registry.js";
import { applySharedState, selectSharedState } from "./shared_state.js";

const GRACE_MS = 2_000;

function entry(name: string, revision: number, fields: object = {}): StoreObject {
  const location = { service: "s", address: "10.0.0.1:80", zone: "a", version: "v1" };
  const load = { slots: 2, state: "ready", warmupLeftMs: 0, sequence: 1 };
  return { name, revision, spec: { ...location, ...load, ...fields } };
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

const UNREADABLE = { slots: "many" };

t.test("a leaf whose entry becomes unreadable is no longer used", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 11, UNREADABLE)], removed: [], revision: 11 });
  t.same([...registry.table.byId.keys()], ["b"]);
  t.equal(registry.table.expiresAtMs.size, 0, "it has no grace period");
});

t.test("a list with an unreadable entry removes its leaf without a grace period", async (t) => {
  const { registry } = makeRegistry();
  registry.applyList({ objects: [entry("a", 11, UNREADABLE), entry("b", 6)], revision: 12 });
  t.same([...registry.table.byId.keys()], ["b"]);
});

t.test("an unreadable entry is reported to peers as removed", async (t) => {
  const { registry } = makeRegistry();
  const before = registry.table;
  registry.applyChanges({ changed: [entry("a", 11, UNREADABLE)], removed: [], revision: 11 });
  const shared = selectSharedState(
    {
      configuration: undefined,
      leafs: registry.table,
      changeLog: registry.changeLog,
      leafsRevision: registry.revision,
      nowMs: 0,
    },
    { configurationVersion: 0, leafsRevision: 10 },
  );
  t.same(shared.removed, ["a"]);
  t.same([...applySharedState(before, shared, 0).byId.keys()], ["b"]);
});

t.test("a leaf is used again once its entry is readable", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 11, UNREADABLE)], removed: [], revision: 11 });
  registry.applyChanges({ changed: [entry("a", 12)], removed: [], revision: 12 });
  t.same([...registry.table.byId.keys()].sort(), ["a", "b"]);
});

t.test("the unreadable entries of one call share one log line", async (t) => {
  const { registry, lines } = makeRegistry();
  const changed = Array.from({ length: 100 }, (_, index) => entry(`x-${index}`, 11, UNREADABLE));
  registry.applyChanges({ changed, removed: [], revision: 11 });
  const ignoredLines = lines.filter(({ text }) => text.includes("cannot be read are passed over"));
  t.equal(ignoredLines.length, 1);
  t.match(ignoredLines[0]?.fields, { count: 100 });
  t.ok(JSON.stringify(ignoredLines).length < 1_500, "the length of the line is bounded");
});

t.test("an older entry never restores an earlier incarnation of a leaf", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 21, { born: 2 })], removed: [], revision: 21 });
  const earlier = entry("a", 11, { born: 1, state: "draining" });
  registry.applyList({ objects: [earlier, entry("b", 6)], revision: 22 });
  t.match(registry.table.byId.get("a"), { bornAtEpochMs: 2, draining: false });
});

t.test("a list from peers keeps the newer of two entries of a leaf", async (t) => {
  const { registry } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 21, { born: 2 })], removed: [], revision: 21 });
  const known = [...registry.table.byId.values()];
  const older = known.map((leaf) => ({ ...leaf, ...{ bornAtEpochMs: 1, entryRevision: 11 } }));
  const options = { nowMs: 0, graceMs: 0 };
  const table = applyLeafList(applyLeafList(EMPTY_LEAF_TABLE, known, options), older, options);
  t.match(table.byId.get("a"), { bornAtEpochMs: 2 });
});

t.test("a restart of a leaf under the same id is logged once per incarnation", async (t) => {
  const { registry, lines } = makeRegistry();
  registry.applyChanges({ changed: [entry("a", 11, { born: 5 })], removed: [], revision: 11 });
  registry.applyChanges({ changed: [entry("a", 12, { born: 5 })], removed: [], revision: 12 });
  t.equal(lines.filter(({ text }) => text.includes("restarted under the same id")).length, 1);
});
