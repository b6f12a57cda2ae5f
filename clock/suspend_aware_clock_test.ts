import t from "tap";
import { type ClockJump, SuspendAwareClock } from "./suspend_aware_clock.js";

/** Creates a clock over sources that the test advances. */
function setUp({ isBootClockReliable = true } = {}) {
  const sources = { monotonicMs: 1_000, epochMs: 1_700_000_000_000, bootMs: 90_000 };
  const clock = new SuspendAwareClock({
    monotonicMs: () => sources.monotonicMs,
    epochMs: () => sources.epochMs,
    bootMs: () => (isBootClockReliable ? Math.round(sources.bootMs / 10) * 10 : sources.bootMs / 3),
  });
  const jumps: Array<ClockJump> = [];
  clock.setJumpListener((jump) => jumps.push(jump));
  const advance = (timeMs: number): void => {
    for (let passedMs = 0; passedMs < timeMs; passedMs += 100) {
      sources.monotonicMs += 100;
      sources.epochMs += 100;
      sources.bootMs += 100;
      clock.checkBootClock();
    }
  };
  const suspend = (timeMs: number): void => {
    sources.epochMs += timeMs;
    sources.bootMs += timeMs;
  };
  return { sources, clock, jumps, advance, suspend };
}

t.test("nowMs() includes suspensions, which the monotonic clock does not count", async (t) => {
  const { clock, jumps, advance, suspend } = setUp();
  advance(20_000);
  t.equal(clock.nowMs(), 21_000);
  suspend(7_000);
  t.equal(clock.nowMs(), 28_000);
  t.match(jumps, [{ jumpMs: 7_000, suspendedMs: 7_000 }]);
  advance(2_000);
  suspend(3_000);
  advance(100);
  t.equal(clock.nowMs(), 33_100, "a second suspension is added");
});

t.test("nowMs() ignores steps of the time of day, forward and backward", async (t) => {
  const { sources, clock, jumps, advance } = setUp();
  advance(20_000);
  sources.epochMs += 2_000;
  advance(1_000);
  sources.epochMs -= 2_000;
  advance(1_000);
  t.equal(clock.nowMs(), 23_000);
  t.match(jumps, [{ jumpMs: 2_000, suspendedMs: 0 }]);
});

t.test(
  "nowMs() measures a suspension by boot time when the time of day is stepped back during it",
  async (t) => {
    const { sources, clock, advance, suspend } = setUp();
    advance(20_000);
    suspend(6_000);
    sources.epochMs -= 2_000;
    t.equal(clock.nowMs(), 27_000);
  },
);

t.test("a jump is reported without a cause when boot time is unreliable", async (t) => {
  const { clock, jumps, advance, suspend } = setUp({ isBootClockReliable: false });
  advance(20_000);
  suspend(4_000);
  t.equal(clock.nowMs(), 21_000);
  t.match(jumps, [{ jumpMs: 4_000, suspendedMs: undefined }]);
});

t.test("boot time is used only after it has agreed with monotonic time", async (t) => {
  const { clock, jumps, suspend } = setUp();
  suspend(4_000);
  t.equal(clock.nowMs(), 1_000);
  t.equal(jumps[0]?.suspendedMs, undefined);
});

t.test("slow drift of the time of day is not reported as a jump", async (t) => {
  const { sources, clock, jumps, advance } = setUp();
  for (let count = 0; count < 100; count++) {
    sources.epochMs += 5;
    advance(100);
  }
  t.same(jumps, []);
  t.equal(clock.nowMs(), 11_000);
});
