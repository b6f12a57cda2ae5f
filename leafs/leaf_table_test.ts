/**
 * What is answered: a store that came back from a copy tells entries again that their leafs have overwritten since. Taken as
 * news, one told a leaf as ready that had said it would end, another brought one back that had ended.
 */
import t from "tap";
import { storePosition } from "../model/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import type { Leaf } from "./leaf.js";
import { applyLeafChanges, applyLeafList, EMPTY_LEAF_TABLE, type LeafTable } from "./leaf_table.js";

const AT_ONCE = { nowMs: 0, graceMs: 0 };

function entry(options: Partial<Leaf> & { readonly era: number; readonly at: number }): Leaf {
  const { at, era, ...leaf } = options;
  const entryRevision = storePosition({ era, revision: at });
  return { ...SAMPLE_LEAF, ...leaf, entryRevision };
}

function tableOf(...leafs: ReadonlyArray<Leaf>): LeafTable {
  return applyLeafList(EMPTY_LEAF_TABLE, leafs, AT_ONCE);
}

t.test("a leaf that will end is not ready again by an older entry of it", async (t) => {
  const known = tableOf(entry({ era: 0, at: 90, sequence: 9, draining: true }));
  const older = entry({ era: 1, at: 60, sequence: 5 });
  const after = applyLeafList(known, [older], AT_ONCE);
  t.equal(after.byId.get("i-1")?.draining, true);
  const newer = entry({ era: 1, at: 61, sequence: 10, draining: true, slots: 3 });
  t.equal(applyLeafList(after, [newer], AT_ONCE).byId.get("i-1")?.slots, 3, "its next one counts");
});

t.test("a leaf that has ended is not there again by an older entry of it", async (t) => {
  const known = tableOf(entry({ era: 0, at: 50, sequence: 5 }));
  const ended = applyLeafChanges(known, { changed: [], removed: ["i-1"] }, AT_ONCE);
  const older = entry({ era: 1, at: 50, sequence: 5 });
  t.equal(applyLeafList(ended, [older], AT_ONCE).byId.size, 0);
  const living = entry({ era: 1, at: 55, sequence: 6 });
  t.equal(applyLeafList(ended, [living], AT_ONCE).byId.size, 1, "one that writes on lives");
  const next = entry({ era: 1, at: 55, sequence: 1, bornAtEpochMs: 2 });
  t.equal(applyLeafList(ended, [next], AT_ONCE).byId.size, 1, "its next incarnation lives");
});

t.test("within an era the position decides, also for a leaf that was missing", async (t) => {
  const known = tableOf(entry({ era: 1, at: 50, sequence: 5 }));
  const older = entry({ era: 1, at: 40, sequence: 4, slots: 3 });
  const changes = { changed: [older], removed: [] };
  t.equal(applyLeafChanges(known, changes, AT_ONCE).byId.get("i-1")?.slots, 2);
  const gone = applyLeafChanges(known, { changed: [], removed: ["i-1"] }, AT_ONCE);
  const back = entry({ era: 1, at: 60, sequence: 5 });
  const after = applyLeafChanges(gone, { changed: [back], removed: [] }, AT_ONCE);
  t.equal(after.byId.size, 1);
});
