import fc from "fast-check";
import t from "tap";
import { mergeRecords, RECORD_BYTES } from "./record_merge.js";

function record(first: number): Buffer {
  return Buffer.alloc(RECORD_BYTES, first);
}

t.test(
  "mergeRecords() returns the greatest records in descending order, with duplicates",
  async (t) => {
    const one = Buffer.concat([record(3), record(200), record(7)]);
    const other = Buffer.concat([record(7), record(1)]);
    const merged = mergeRecords([one, other], { topRecords: 3 });
    t.same(merged, Buffer.concat([record(200), record(7), record(7)]));
  },
);

t.test("mergeRecords() ignores a remainder shorter than a record", async (t) => {
  const part = Buffer.concat([record(5), Buffer.alloc(RECORD_BYTES - 1, 255)]);
  t.same(mergeRecords([part], { topRecords: 10 }), record(5));
});

t.test("mergeRecords() returns the same records as a full sort by bytes", async (t) => {
  const part = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));
  // Draws from two byte values only, so that many records share a prefix.
  const similar = fc
    .array(fc.constantFrom(0, 255), { maxLength: 200 })
    .map((bytes) => Buffer.from(bytes));
  const parts = fc.array(fc.oneof(part, similar), { maxLength: 6 });
  fc.assert(
    fc.property(parts, fc.nat(12), (bodies, topRecords) => {
      const records = bodies.flatMap((body) => {
        const count = Math.floor(body.length / RECORD_BYTES);
        return Array.from({ length: count }, (_, index) => {
          return body.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES);
        });
      });
      records.sort((a, b) => Buffer.compare(b, a));
      const expected = Buffer.concat(records.slice(0, topRecords));
      return mergeRecords(bodies, { topRecords }).equals(expected);
    }),
    { numRuns: 500, seed: 11 },
  );
  t.pass();
});
