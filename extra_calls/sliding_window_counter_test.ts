import fc from "fast-check";
import t from "tap";
import { SlidingWindowCounter } from "./sliding_window_counter.js";

const WINDOW_MS = 1_000;

t.test("a sliding window counts all events of the window and few older ones", async (t) => {
  const gaps = fc.array(fc.nat(300), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(gaps, (afterMs) => {
      const counter = new SlidingWindowCounter(WINDOW_MS);
      const times: Array<number> = [];
      let nowMs = 0;
      return afterMs.every((gapMs) => {
        nowMs += gapMs;
        counter.add(nowMs);
        times.push(nowMs);
        const within = (spanMs: number) => times.filter((atMs) => atMs > nowMs - spanMs).length;
        const count = counter.count(nowMs);
        return count >= within(WINDOW_MS) && count <= within(WINDOW_MS * 1.06);
      });
    }),
    { numRuns: 200, seed: 1 },
  );
  t.pass();
});

t.test("a sliding window is empty after a long pause", async (t) => {
  const counter = new SlidingWindowCounter(WINDOW_MS);
  counter.add(10);
  t.equal(counter.count(50_000), 0);
});
