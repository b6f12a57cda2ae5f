// Guards against stalls of a process that are taken for slowness of what it waits for.
import t from "tap";
import { StallMeter } from "./stall_meter.js";

t.test("the time without ticks beyond the interval counts as stalled", async (t) => {
  let nowMs = 100;
  const stalls = new StallMeter({ nowMs: () => nowMs, intervalMs: 40 });
  nowMs += 119;
  t.equal(stalls.totalMs(), 0, "a late tick of a busy process is no stall");
  stalls.tick();
  nowMs += 3_040;
  t.equal(stalls.totalMs(), 3_000, "before the tick that ends the stall");
  stalls.tick();
  nowMs += 40;
  stalls.tick();
  t.equal(stalls.totalMs(), 3_000, "and after it");
});

t.test("the end of a stall is known before and after the tick that ends it", async (t) => {
  let nowMs = 100;
  const stalls = new StallMeter({ nowMs: () => nowMs, intervalMs: 40 });
  t.equal(stalls.sinceStallMs(), Number.POSITIVE_INFINITY, "there was none");
  nowMs += 3_000;
  t.equal(stalls.sinceStallMs(), 0, "the tick is overdue");
  stalls.tick();
  nowMs += 40;
  stalls.tick();
  t.equal(stalls.sinceStallMs(), 40);
});
