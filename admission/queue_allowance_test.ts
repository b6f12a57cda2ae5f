import t from "tap";
import { type QueuedRoute, queueAllowancesMs } from "./queue_allowance.js";

const GATHER: QueuedRoute = {
  name: "sweep",
  aimMs: 200,
  priorityRank: 1,
  shards: ["s1", "s2"],
};

t.test("queueAllowancesMs() allows a route a fraction of its latency objective", async (t) => {
  const allowedMs = queueAllowancesMs([GATHER]).get("sweep") ?? 0;
  t.ok(allowedMs > 0 && allowedMs < GATHER.aimMs / 2, `${allowedMs}`);
  const doubledObjective = queueAllowancesMs([{ ...GATHER, aimMs: 2 * GATHER.aimMs }]);
  t.equal(doubledObjective.get("sweep"), 2 * allowedMs);
});

t.test(
  "queueAllowancesMs() allows a less urgent route less, whatever its latency objective",
  async (t) => {
    const slow: QueuedRoute = { ...GATHER, name: "slow", aimMs: 2_000, priorityRank: 3 };
    const allowances = queueAllowancesMs([slow, GATHER]);
    const urgentMs = allowances.get("sweep") ?? 0;
    const slowMs = allowances.get("slow") ?? 0;
    t.ok(slowMs < urgentMs && slowMs > 0, `${slowMs} of ${urgentMs}`);
  },
);

t.test("queueAllowancesMs() treats routes over different shards independently", async (t) => {
  const shards = ["t1"];
  const other: QueuedRoute = { ...GATHER, name: "other", aimMs: 2_000, priorityRank: 3, shards };
  const separate = queueAllowancesMs([other]).get("other");
  t.equal(queueAllowancesMs([GATHER, other]).get("other"), separate);
});
