import t from "tap";
import { expectedSlowdown, NO_SLOWDOWN, recordSlowdown } from "./leaf_slowdown.js";

t.test("a new slowdown report is valid for a short time", async (t) => {
  const slow = recordSlowdown(NO_SLOWDOWN, { factor: 4, nowMs: 1_000 });
  t.equal(expectedSlowdown(slow, 1_200), 4);
  t.equal(expectedSlowdown(slow, 1_300), 1);
});

t.test("a lasting slowdown is expected to continue for as long again", async (t) => {
  const first = recordSlowdown(NO_SLOWDOWN, { factor: 11, nowMs: 1_000 });
  const second = recordSlowdown(first, { factor: 10, nowMs: 2_000 });
  t.equal(expectedSlowdown(second, 2_900), 10);
  t.equal(expectedSlowdown(second, 3_100), 1, "normal speed is assumed after that");
  const later = recordSlowdown(second, { factor: 11, nowMs: 9_000 });
  t.equal(expectedSlowdown(later, 11_100), 1, "a report is valid for at most 2 s");
});

t.test("a report of normal speed takes effect immediately", async (t) => {
  const slow = recordSlowdown(recordSlowdown(NO_SLOWDOWN, { factor: 11, nowMs: 0 }), {
    factor: 11,
    nowMs: 2_000,
  });
  t.equal(expectedSlowdown(recordSlowdown(slow, { factor: 1, nowMs: 2_100 }), 2_110), 1);
});

t.test("invalid factors are clamped", async (t) => {
  t.equal(recordSlowdown(NO_SLOWDOWN, { factor: 0, nowMs: 1 }).factor, 0.2);
  t.equal(recordSlowdown(NO_SLOWDOWN, { factor: 1e9, nowMs: 1 }).factor, 100);
});
