import t from "tap";
import { mergeRecords, RECORD_BYTES } from "./record_merge.js";

function record(first: number): Buffer {
  return Buffer.alloc(RECORD_BYTES, first);
}

t.test("mergeRecords() gives the greatest records, greatest first, equal ones each", async (t) => {
  const one = Buffer.concat([record(3), record(200), record(7)]);
  const other = Buffer.concat([record(7), record(1)]);
  const merged = mergeRecords([one, other], { topRecords: 3 });
  t.same(merged, Buffer.concat([record(200), record(7), record(7)]));
});

t.test("mergeRecords() passes over a remainder shorter than a record", async (t) => {
  const part = Buffer.concat([record(5), Buffer.alloc(RECORD_BYTES - 1, 255)]);
  t.same(mergeRecords([part], { topRecords: 10 }), record(5));
});
