import t from "tap";
import { runSoak } from "./run_soak.js";

const STEPS = 12_000;

for (const seed of [1, 2, 9, 21]) {
  t.test(`a run with seed ${seed} and all faults violates no invariant`, async (t) => {
    const report = await runSoak({ seed, steps: STEPS });
    t.same(report.violations, []);
    t.ok(report.leafCallCount > 500, `${report.leafCallCount} leaf calls`);
    t.ok(Object.keys(report.eventCounts).length > 10);
  });
}

t.test("runs with the same seed give the same report", async (t) => {
  const [first, second] = [
    await runSoak({ seed: 3, steps: 4_000 }),
    await runSoak({ seed: 3, steps: 4_000 }),
  ];
  t.same(first, second);
});
