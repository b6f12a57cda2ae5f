import t from "tap";
import { findOverload, overloadRetryMs, queueQuantileMs } from "./overload.js";

t.test("queueQuantileMs() ignores the queues of a few shards", async (t) => {
  t.equal(queueQuantileMs([0, 0, 0, 0, 0, 0, 900, 900, 900, 900]), 0);
  t.equal(queueQuantileMs([0, 0, 0, 0, 0, 50, 60, 70, 80, 90]), 50);
  t.equal(queueQuantileMs([]), 0);
});

t.test("findOverload() refuses for a persistent or an extremely long queue", async (t) => {
  const transient = { mostQueueMs: 20, queueMs: 30, standingMs: 0 };
  t.equal(findOverload(transient), undefined);
  t.ok(findOverload({ ...transient, standingMs: 25 }));
  t.equal(findOverload({ ...transient, queueMs: 10, standingMs: 10 }), undefined);
  t.ok(findOverload({ ...transient, queueMs: 200 }));
});

t.test("overloadRetryMs() allows time for queues to drain", async (t) => {
  const overload = { mostQueueMs: 20, queueMs: 30, standingMs: 30 };
  t.ok(overloadRetryMs(overload) >= 300);
  t.ok(overloadRetryMs({ ...overload, queueMs: 300 }) > overloadRetryMs(overload));
});
