import t from "tap";
import { expectedSlowdown, NO_SLOWDOWN, recordSlowdown } from "./leaf_slowdown.js";

t.test("a short slow spell is believed for a moment", async (t) => {
  const slow = recordSlowdown(NO_SLOWDOWN, { factor: 4, nowMs: 1_000 });
  t.equal(expectedSlowdown(slow, 1_200), 4);
  t.equal(expectedSlowdown(slow, 1_300), 1);
});

t.test("what has lasted for a while is expected to last as long again", async (t) => {
  const first = recordSlowdown(NO_SLOWDOWN, { factor: 11, nowMs: 1_000 });
  const second = recordSlowdown(first, { factor: 10, nowMs: 2_000 });
  t.equal(expectedSlowdown(second, 2_900), 10);
  t.equal(expectedSlowdown(second, 3_100), 1, "then the leaf is tried");
  const later = recordSlowdown(second, { factor: 11, nowMs: 9_000 });
  t.equal(expectedSlowdown(later, 11_100), 1, "and it is tried every two seconds at least");
});

t.test("a leaf that is as usual again counts so at once", async (t) => {
  const slow = recordSlowdown(recordSlowdown(NO_SLOWDOWN, { factor: 11, nowMs: 0 }), {
    factor: 11,
    nowMs: 2_000,
  });
  t.equal(expectedSlowdown(recordSlowdown(slow, { factor: 1, nowMs: 2_100 }), 2_110), 1);
});

t.test("nonsense is believed within bounds", async (t) => {
  t.equal(recordSlowdown(NO_SLOWDOWN, { factor: 0, nowMs: 1 }).factor, 0.2);
  t.equal(recordSlowdown(NO_SLOWDOWN, { factor: 1e9, nowMs: 1 }).factor, 100);
});
