import fc from "fast-check";
import t from "tap";
import { SlidingWindowCounter } from "./sliding_window_counter.js";

const WINDOW_MS = 1_000;

t.test("a sliding count holds all of the window and little of what was before", async (t) => {
  const gaps = fc.array(fc.nat(300), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(gaps, (afterMs) => {
      const counted = new SlidingWindowCounter(WINDOW_MS);
      const moments: Array<number> = [];
      let nowMs = 0;
      return afterMs.every((gapMs) => {
        nowMs += gapMs;
        counted.add(nowMs);
        moments.push(nowMs);
        const within = (spanMs: number) => moments.filter((atMs) => atMs > nowMs - spanMs).length;
        const count = counted.count(nowMs);
        return count >= within(WINDOW_MS) && count <= within(WINDOW_MS * 1.06);
      });
    }),
    { numRuns: 200, seed: 1 },
  );
  t.pass();
});

t.test("a sliding count forgets all after a long while", async (t) => {
  const counted = new SlidingWindowCounter(WINDOW_MS);
  counted.add(10);
  t.equal(counted.count(50_000), 0);
});
