import t from "tap";
import { FAULT_KINDS, faultPlan, RECORDED_KINDS, runFaultSoak } from "./mod.js";

/**
 * Seeds that run in CI, with the time in which faults begin. In 837 a planned stop cut a request that a
 * silent leaf held: the process ended with it open (seen in 1 of 10 runs).
 */
const RUNS = [
  { seed: 1, lengthMs: 8_000, kinds: RECORDED_KINDS },
  { seed: 837, lengthMs: 10_000, kinds: RECORDED_KINDS },
  { seed: 2, lengthMs: 8_000, kinds: FAULT_KINDS },
] as const;

t.test("the same seed gives the same plan, and plans hold kinds of all sorts", async (t) => {
  const options = { seed: 7, lengthMs: 60_000 };
  const plan = faultPlan(options);
  t.same(faultPlan(options), plan);
  t.notSame(faultPlan({ ...options, seed: 8 }), plan);
  t.ok(new Set(plan.map(({ kind }) => kind)).size > 12);
});

for (const { kinds, seed, lengthMs } of RUNS) {
  t.test(`real programs keep their promises under the faults of seed ${seed}`, async (t) => {
    const report = await runFaultSoak({ seed, lengthMs, kinds, boxes: 4 });
    t.same(report.broken, []);
    t.ok((report.statuses["200"] ?? 0) > 100, JSON.stringify(report.statuses));
    t.ok(Object.keys(report.occurred).length > 5, JSON.stringify(report.occurred));
  });
}
