import t from "tap";
import { faultPlan, runFaultSoak } from "./mod.js";

/** Time in which faults begin in CI, in milliseconds. */
const LENGTH_MS = 8_000;

t.test("the same seed gives the same plan, and plans hold kinds of all sorts", async (t) => {
  const options = { seed: 7, lengthMs: 60_000 };
  const plan = faultPlan(options);
  t.same(faultPlan(options), plan);
  t.notSame(faultPlan({ ...options, seed: 8 }), plan);
  t.ok(new Set(plan.map(({ kind }) => kind)).size > 12);
});

for (const seed of [1]) {
  t.test(`real programs keep their promises under the faults of seed ${seed}`, async (t) => {
    const report = await runFaultSoak({ seed, lengthMs: LENGTH_MS, boxes: 4 });
    t.same(report.broken, []);
    t.ok((report.statuses["200"] ?? 0) > 100, JSON.stringify(report.statuses));
    t.ok(Object.keys(report.occurred).length > 5, JSON.stringify(report.occurred));
  });
}
