/**
 * What is answered: leafs come back cold, bear a few calls a second from all boxes together, and fall over above that.
 * 60 boxes that each sent a cold leaf their own share of the load would send it some twenty calls in its first second.
 */
import fc from "fast-check";
import t from "tap";
import type { Leaf } from "../leafs/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { coldCallQuota } from "./cold_call_quota.js";
import { ColdLeafs } from "./cold_leafs.js";

const TERMS = { warmupMs: 3_000, warmupPerS: 6 };
/** 6 calls a second, exceeded by half, and 5 besides. */
const MOST_CALLS = 14;
const TOLERANCE = { factor: 1.5, slackCalls: 5 };
const BOXES = ["box-1", "box-2", "box-3", "box-4"];
const COLD: Leaf = { ...SAMPLE_LEAF, warmingForMs: 3_000 };

function knowing(leaf: Leaf, box: string, clock: { nowMs: number }, callers = BOXES): ColdLeafs {
  const cold = new ColdLeafs({
    nowMs: () => clock.nowMs,
    box,
    warmupTermsOf: () => TERMS,
    tolerance: TOLERANCE,
    callingBoxesOf: () => callers,
  });
  cold.setLeafs(new Map([[leaf.leafId, leaf]]));
  return cold;
}

t.test("coldShare() of all boxes comes to less than the limit, whoever asks", async (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 3, max: 200 }),
      fc.integer({ min: 1, max: 40 }),
      fc.string(),
      (maxCalls, boxes, leafId) => {
        const callingBoxes = Array.from({ length: boxes }, (_, index) => `box-${index}`);
        const terms = { leafId, maxCalls: maxCalls, callingBoxes: callingBoxes };
        const sum = callingBoxes.reduce((total, box) => total + coldCallQuota(terms, box), 0);
        return sum <= 0.75 * maxCalls && sum > 0;
      },
    ),
  );
  t.equal(coldCallQuota({ leafId: "i", maxCalls: 14, callingBoxes: BOXES }, "box-9"), 0);
});

t.test("a cold leaf gets no more than it bears within any second, from all boxes", async (t) => {
  const clock = { nowMs: 0 };
  const boxes = BOXES.map((box) => knowing(COLD, box, clock));
  const sentAtMs: Array<number> = [];
  for (; clock.nowMs < 2_900; clock.nowMs += 7) {
    for (const box of boxes) {
      if (box.mayCall(COLD)) {
        box.noteSent(COLD);
        sentAtMs.push(clock.nowMs);
      }
    }
  }
  const most = Math.max(
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 1_000).length),
  );
  t.ok(most <= MOST_CALLS, `${most} calls within a second`);
  t.ok(sentAtMs.length >= 16, `${sentAtMs.length} calls in all, so that it gets warm`);
});

t.test("a box that is cut off keeps to its part, as it does not forget the others", async (t) => {
  const clock = { nowMs: 0 };
  const alone = knowing(COLD, "box-1", clock);
  const others = BOXES.slice(1).map((box) => knowing(COLD, box, clock));
  let sent = 0;
  for (const box of [alone, ...others]) {
    while (box.mayCall(COLD)) {
      box.noteSent(COLD);
      sent += 1;
    }
  }
  t.ok(sent <= MOST_CALLS, `${sent} calls`);
});

t.test("a leaf is warm once its time is over, and cold again when its entry says so", async (t) => {
  const clock = { nowMs: 0 };
  const cold = knowing(COLD, "box-1", clock, []);
  t.notOk(cold.mayCall(COLD), "no box may call while none is known");
  clock.nowMs = 3_000;
  t.ok(cold.mayCall(COLD));
  const again = { ...COLD, entryRevision: 2, warmingForMs: 500 };
  cold.setLeafs(new Map([[again.leafId, again]]));
  t.ok(cold.isCold(COLD.leafId));
  clock.nowMs = 3_600;
  t.notOk(cold.isCold(COLD.leafId));
});

t.test("leafs that had no work for long are cold before they say so", async (t) => {
  const clock = { nowMs: 0 };
  const warm = { ...COLD, warmingForMs: 0 };
  const cold = knowing(warm, "box-1", clock);
  cold.markCold([warm]);
  t.ok(cold.isCold(warm.leafId));
  clock.nowMs = TERMS.warmupMs;
  t.notOk(cold.isCold(warm.leafId));
});

t.test("a service that says nothing of what a cold leaf bears sets no limit", async (t) => {
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
