import fc from "fast-check";
import t from "tap";
import { mergeRecords } from "./record_merge.js";
import { recordThreshold } from "./record_threshold.js";

/** Parts with few distinct byte values, so that duplicate records are common. */
const PARTS = fc.array(
  fc.array(fc.integer({ min: 0, max: 5 }), { maxLength: 12 }).map((firsts) => {
    return Buffer.concat(firsts.map((first) => Buffer.alloc(16, first)));
  }),
  { maxLength: 8 },
);

t.test(
  "recordThreshold() never excludes a record that is among the greatest of all parts",
  async (t) => {
    fc.assert(
      fc.property(PARTS, PARTS, fc.integer({ min: 1, max: 10 }), (received, others, topRecords) => {
        const minRecord = recordThreshold(received, { topRecords });
        const sent = others.map((part) => mergeRecords([part], { topRecords, minRecord }));
        const merged = mergeRecords([...received, ...sent], { topRecords });
        return merged.equals(mergeRecords([...received, ...others], { topRecords }));
      }),
      { numRuns: 2_000 },
    );
    t.pass();
  },
);

t.test("recordThreshold() is undefined if there are fewer records than wanted", async (t) => {
  t.equal(recordThreshold([Buffer.alloc(16, 1)], { topRecords: 2 }), undefined);
  t.same(recordThreshold([Buffer.alloc(32, 1)], { topRecords: 2 }), Buffer.alloc(16, 1));
});
