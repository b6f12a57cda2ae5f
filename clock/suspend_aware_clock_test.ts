import t from "tap";
import { type ClockJump, SuspendAwareClock } from "./suspend_aware_clock.js";

/** A clock over sources that the test moves; some boot clocks are not kept by their platform. */
function setUp({ bootIsKept = true } = {}) {
  const at = { steadyMs: 1_000, epochMs: 1_700_000_000_000, bootMs: 90_000 };
  const clock = new SuspendAwareClock({
    monotonicMs: () => at.steadyMs,
    epochMs: () => at.epochMs,
    bootMs: () => (bootIsKept ? Math.round(at.bootMs / 10) * 10 : at.bootMs / 3),
  });
  const jumps: Array<ClockJump> = [];
  clock.setJumpListener((jump) => jumps.push(jump));
  const run = (timeMs: number): void => {
    for (let passedMs = 0; passedMs < timeMs; passedMs += 100) {
      at.steadyMs += 100;
      at.epochMs += 100;
      at.bootMs += 100;
      clock.checkBootClock();
    }
  };
  const suspend = (timeMs: number): void => {
    at.epochMs += timeMs;
    at.bootMs += timeMs;
  };
  return { at, clock, jumps, run, suspend };
}

t.test("nowMs() goes on over a suspension, which the steady clock does not count", async (t) => {
  const { clock, jumps, run, suspend } = setUp();
  run(20_000);
  t.equal(clock.nowMs(), 21_000);
  suspend(7_000);
  t.equal(clock.nowMs(), 28_000);
  t.match(jumps, [{ jumpMs: 7_000, suspendedMs: 7_000 }]);
  run(2_000);
  suspend(3_000);
  run(100);
  t.equal(clock.nowMs(), 33_100, "a second one is added");
});

t.test("a step of the time of day, forward or back, moves nothing", async (t) => {
  const { at, clock, jumps, run } = setUp();
  run(20_000);
  at.epochMs += 2_000;
  run(1_000);
  at.epochMs -= 2_000;
  run(1_000);
  t.equal(clock.nowMs(), 23_000);
  t.match(jumps, [{ jumpMs: 2_000, suspendedMs: 0 }]);
});

t.test(
  "a suspension while the time of day is stepped back is counted by the clock since boot",
  async (t) => {
    const { at, clock, run, suspend } = setUp();
    run(20_000);
    suspend(6_000);
    at.epochMs -= 2_000;
    t.equal(clock.nowMs(), 27_000);
  },
);

t.test(
  "where the clock since boot is not kept, a jump is told and nothing concluded",
  async (t) => {
    const { clock, jumps, run, suspend } = setUp({ bootIsKept: false });
    run(20_000);
    suspend(4_000);
    t.equal(clock.nowMs(), 21_000);
    t.match(jumps, [{ jumpMs: 4_000, suspendedMs: undefined }]);
  },
);

t.test(
  "the clock since boot is relied on only after it has gone with the steady one",
  async (t) => {
    const { clock, jumps, suspend } = setUp();
    suspend(4_000);
    t.equal(clock.nowMs(), 1_000);
    t.equal(jumps[0]?.suspendedMs, undefined);
  },
);

t.test("slow drift of the time of day is no jump", async (t) => {
  const { at, clock, jumps, run } = setUp();
  for (let count = 0; count < 100; count++) {
    at.epochMs += 5;
    run(100);
  }
  t.same(jumps, []);
  t.equal(clock.nowMs(), 11_000);
});
