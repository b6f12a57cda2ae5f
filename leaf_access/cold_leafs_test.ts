/**
 * Guards against overloading cold leafs, which can bear only a few calls a second from all boxes
 * together.
 */
import fc from "fast-check";
import t from "tap";
import type { Leaf } from "../leafs/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { coldCallQuota } from "./cold_call_quota.js";
import { ColdLeafs } from "./cold_leafs.js";

const TERMS = { warmupMs: 3_000, warmupPerS: 6 };
/** 6 calls a second times 1.5, and 5 more. */
const MAX_CALLS = 14;
const TOLERANCE = { factor: 1.5, slackCalls: 5 };
const BOXES = ["box-1", "box-2", "box-3", "box-4"];
const COLD: Leaf = { ...SAMPLE_LEAF, warmingForMs: 3_000 };

function coldLeafsOf(
  leaf: Leaf,
  box: string,
  clock: { nowMs: number },
  callingBoxes = BOXES,
): ColdLeafs {
  const cold = new ColdLeafs({
    nowMs: () => clock.nowMs,
    box,
    warmupTermsOf: () => TERMS,
    tolerance: TOLERANCE,
    callingBoxesOf: () => callingBoxes,
  });
  cold.setLeafs(new Map([[leaf.leafId, leaf]]));
  return cold;
}

t.test("coldCallQuota() of all boxes adds up to less than the limit", async (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 3, max: 200 }),
      fc.integer({ min: 1, max: 40 }),
      fc.string(),
      (maxCalls, boxes, leafId) => {
        const callingBoxes = Array.from({ length: boxes }, (_, index) => `box-${index}`);
        const terms = { leafId, maxCalls, callingBoxes };
        const sum = callingBoxes.reduce((total, box) => total + coldCallQuota(terms, box), 0);
        return sum <= 0.75 * maxCalls && sum > 0;
      },
    ),
  );
  t.equal(coldCallQuota({ leafId: "i", maxCalls: 14, callingBoxes: BOXES }, "box-9"), 0);
});

t.test(
  "a cold leaf receives no more calls than its limit within any second, from all boxes",
  async (t) => {
    const clock = { nowMs: 0 };
    const boxes = BOXES.map((box) => coldLeafsOf(COLD, box, clock));
    const sentAtMs: Array<number> = [];
    for (; clock.nowMs < 2_900; clock.nowMs += 7) {
      for (const box of boxes) {
        if (box.mayCall(COLD)) {
          box.recordCallSent(COLD);
          sentAtMs.push(clock.nowMs);
        }
      }
    }
    const maxSent = Math.max(
      ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 1_000).length),
    );
    t.ok(maxSent <= MAX_CALLS, `${maxSent} calls within a second`);
    t.ok(sentAtMs.length >= 16, `${sentAtMs.length} calls in total, so that it warms up`);
  },
);

t.test("a partitioned box keeps to its quota, as it still counts the others", async (t) => {
  const clock = { nowMs: 0 };
  const partitioned = coldLeafsOf(COLD, "box-1", clock);
  const others = BOXES.slice(1).map((box) => coldLeafsOf(COLD, box, clock));
  let sent = 0;
  for (const box of [partitioned, ...others]) {
    while (box.mayCall(COLD)) {
      box.recordCallSent(COLD);
      sent += 1;
    }
  }
  t.ok(sent <= MAX_CALLS, `${sent} calls`);
});

t.test(
  "a leaf is warm after its warm-up time, and cold again when its entry says so",
  async (t) => {
    const clock = { nowMs: 0 };
    const cold = coldLeafsOf(COLD, "box-1", clock, []);
    t.notOk(cold.mayCall(COLD), "no box may call while none is known");
    clock.nowMs = 3_000;
    t.ok(cold.mayCall(COLD));
    const restarted = { ...COLD, entryRevision: 2, warmingForMs: 500 };
    cold.setLeafs(new Map([[restarted.leafId, restarted]]));
    t.ok(cold.isCold(COLD.leafId));
    clock.nowMs = 3_600;
    t.notOk(cold.isCold(COLD.leafId));
  },
);

t.test("leafs that were idle for long are cold before their entries say so", async (t) => {
  const clock = { nowMs: 0 };
  const warm = { ...COLD, warmingForMs: 0 };
  const cold = coldLeafsOf(warm, "box-1", clock);
  cold.markCold([warm]);
  t.ok(cold.isCold(warm.leafId));
  clock.nowMs = TERMS.warmupMs;
  t.notOk(cold.isCold(warm.leafId));
});

t.test("a service without a warm-up rate sets no limit", async (t) => {
  const cold = new ColdLeafs({
    nowMs: () => 0,
    box: "box-1",
    warmupTermsOf: () => ({ warmupMs: 3_000, warmupPerS: 0 }),
    tolerance: TOLERANCE,
    callingBoxesOf: () => [],
  });
  cold.setLeafs(new Map([[COLD.leafId, COLD]]));
  t.ok(cold.isCold(COLD.leafId));
  t.ok(cold.mayCall(COLD));
});
