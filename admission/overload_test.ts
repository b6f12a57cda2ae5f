import t from "tap";
import { findOverload, overloadRetryMs, queueQuantileMs } from "./overload.js";

t.test("decisiveQueueMs() passes over the queues of a few shards", async (t) => {
  t.equal(queueQuantileMs([0, 0, 0, 0, 0, 0, 900, 900, 900, 900]), 0);
  t.equal(queueQuantileMs([0, 0, 0, 0, 0, 50, 60, 70, 80, 90]), 50);
  t.equal(queueQuantileMs([]), 0);
});

t.test("findOverload() refuses for a queue that stands, or that no answer can bear", async (t) => {
  const passing = { mostQueueMs: 20, queueMs: 30, standingMs: 0 };
  t.equal(findOverload(passing), undefined);
  t.ok(findOverload({ ...passing, standingMs: 25 }));
  t.equal(findOverload({ ...passing, queueMs: 10, standingMs: 10 }), undefined);
  t.ok(findOverload({ ...passing, queueMs: 200 }));
});

t.test("overloadRetryMs() leaves queues time to empty", async (t) => {
  const overload = { mostQueueMs: 20, queueMs: 30, standingMs: 30 };
  t.ok(overloadRetryMs(overload) >= 300);
  t.ok(overloadRetryMs({ ...overload, queueMs: 300 }) > overloadRetryMs(overload));
});
