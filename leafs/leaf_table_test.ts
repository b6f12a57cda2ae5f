/**
 * A store restored from a backup lists outdated entries again. They must not reactivate a draining
 * leaf or restore a terminated one.
 */
import t from "tap";
import { storePosition } from "../model/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import type { Leaf } from "./leaf.js";
import { applyLeafChanges, applyLeafList, EMPTY_LEAF_TABLE, type LeafTable } from "./leaf_table.js";

const NO_GRACE = { nowMs: 0, graceMs: 0 };

function entry(options: Partial<Leaf> & { readonly era: number; readonly at: number }): Leaf {
  const { at, era, ...leaf } = options;
  const entryRevision = storePosition({ era, revision: at });
  return { ...SAMPLE_LEAF, ...leaf, entryRevision };
}

function tableOf(...leafs: ReadonlyArray<Leaf>): LeafTable {
  return applyLeafList(EMPTY_LEAF_TABLE, leafs, NO_GRACE);
}

t.test("an older entry does not reactivate a draining leaf", async (t) => {
  const known = tableOf(entry({ era: 0, at: 90, sequence: 9, draining: true }));
  const older = entry({ era: 1, at: 60, sequence: 5 });
  const after = applyLeafList(known, [older], NO_GRACE);
  t.equal(after.byId.get("i-1")?.draining, true);
  const newer = entry({ era: 1, at: 61, sequence: 10, draining: true, slots: 3 });
  t.equal(
    applyLeafList(after, [newer], NO_GRACE).byId.get("i-1")?.slots,
    3,
    "a newer entry applies",
  );
});

t.test("an older entry does not restore a removed leaf", async (t) => {
  const known = tableOf(entry({ era: 0, at: 50, sequence: 5 }));
  const removed = applyLeafChanges(known, { changed: [], removed: ["i-1"] }, NO_GRACE);
  const older = entry({ era: 1, at: 50, sequence: 5 });
  t.equal(applyLeafList(removed, [older], NO_GRACE).byId.size, 0);
  const newer = entry({ era: 1, at: 55, sequence: 6 });
  t.equal(
    applyLeafList(removed, [newer], NO_GRACE).byId.size,
    1,
    "a newer entry restores the leaf",
  );
  const next = entry({ era: 1, at: 55, sequence: 1, bornAtEpochMs: 2 });
  t.equal(applyLeafList(removed, [next], NO_GRACE).byId.size, 1, "a new incarnation is added");
});

t.test("within an era the position decides, also for a removed leaf", async (t) => {
  const known = tableOf(entry({ era: 1, at: 50, sequence: 5 }));
  const older = entry({ era: 1, at: 40, sequence: 4, slots: 3 });
  const changes = { changed: [older], removed: [] };
  t.equal(applyLeafChanges(known, changes, NO_GRACE).byId.get("i-1")?.slots, 2);
  const removed = applyLeafChanges(known, { changed: [], removed: ["i-1"] }, NO_GRACE);
  const back = entry({ era: 1, at: 60, sequence: 5 });
  const after = applyLeafChanges(removed, { changed: [back], removed: [] }, NO_GRACE);
  t.equal(after.byId.size, 1);
});
