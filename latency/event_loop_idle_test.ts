import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { eventLoopIdleMs } from "./event_loop_idle.js";

/** Blocks the event loop. */
function busyWait(forMs: number): void {
  const endAtMs = performance.now() + forMs;
  while (performance.now() < endAtMs) {
    // Busy-waits.
  }
}

t.test("eventLoopIdleMs() advances while the process waits", async (t) => {
  await sleep(1);
  const beforeMs = eventLoopIdleMs();
  await sleep(60);
  t.ok(eventLoopIdleMs() - beforeMs >= 30, `${eventLoopIdleMs() - beforeMs} ms of 60`);
});

t.test("eventLoopIdleMs() does not advance while the process computes", async (t) => {
  await sleep(1);
  const beforeMs = eventLoopIdleMs();
  busyWait(80);
  t.equal(eventLoopIdleMs(), beforeMs);
});
