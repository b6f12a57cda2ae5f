import { setTimeout as wait } from "node:timers/promises";
import t from "tap";
import { eventLoopIdleMs } from "./event_loop_idle.js";

/** Computes without a pause. */
function compute(forMs: number): void {
  const endAtMs = performance.now() + forMs;
  while (performance.now() < endAtMs) {
    // Keeps the process busy.
  }
}

t.test("waitedMs() moves while the process waits", async (t) => {
  await wait(1);
  const beforeMs = eventLoopIdleMs();
  await wait(60);
  t.ok(eventLoopIdleMs() - beforeMs >= 30, `${eventLoopIdleMs() - beforeMs} ms of 60`);
});

t.test("waitedMs() stands still while the process computes", async (t) => {
  await wait(1);
  const beforeMs = eventLoopIdleMs();
  compute(80);
  t.equal(eventLoopIdleMs(), beforeMs);
});
