import t from "tap";
import type { Route } from "./configuration.js";
import { queueAllowancesMs } from "./queue_allowance.js";

const GATHER: Route = {
  name: "sweep",
  host: "h",
  prefix: "/a/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 200,
  priorityRank: 1,
  maxAttempts: 2,
  target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.5 },
};

t.test("queueAllowancesMs() allows a route a share of its own aim", async (t) => {
  const allowedMs = queueAllowancesMs([GATHER]).get("sweep") ?? 0;
  t.ok(allowedMs > 0 && allowedMs < GATHER.aimMs / 2, `${allowedMs}`);
  const doubled = queueAllowancesMs([{ ...GATHER, aimMs: 2 * GATHER.aimMs }]);
  t.equal(doubled.get("sweep"), 2 * allowedMs);
});

t.test("queueAllowancesMs() allows a less urgent route less, whatever its own aim", async (t) => {
  const slow: Route = { ...GATHER, name: "slow", aimMs: 2_000, priorityRank: 3 };
  const allowances = queueAllowancesMs([slow, GATHER]);
  const urgentMs = allowances.get("sweep") ?? 0;
  const slowMs = allowances.get("slow") ?? 0;
  t.ok(slowMs < urgentMs && slowMs > 0, `${slowMs} of ${urgentMs}`);
});

t.test("queueAllowancesMs() keeps routes over other shards apart", async (t) => {
  const target = { kind: "gather", shards: ["t1"], topRecords: 2, leastShare: 0.5 } as const;
  const other: Route = { ...GATHER, name: "other", aimMs: 2_000, priorityRank: 3, target };
  const alone = queueAllowancesMs([other]).get("other");
  t.equal(queueAllowancesMs([GATHER, other]).get("other"), alone);
});

t.test("queueAllowancesMs() gives routes to a single leaf none", async (t) => {
  const target = { kind: "single", services: [{ service: "s", weight: 1 }] } as const;
  t.equal(queueAllowancesMs([{ ...GATHER, target }]).get("sweep"), undefined);
});
