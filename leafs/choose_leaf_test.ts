import t from "tap";
import { chooseLeaf, isUnresponsive, type LeafChoiceContext } from "./choose_leaf.js";
import type { Leaf } from "./leaf.js";
import { INITIAL_LEAF_HEALTH, type LeafHealth } from "./leaf_health.js";

const NEAR: Leaf = {
  leafId: "b near",
  bornAtEpochMs: 1,
  entryRevision: 1,
  sequence: 1,
  service: "s",
  address: "10.0.0.1",
  port: 1,
  dataCentre: "here",
  slots: 2,
  draining: false,
  warmingForMs: 0,
};

const FAR: Leaf = { ...NEAR, leafId: "a far", dataCentre: "there" };

function viewOf(
  conditions: Readonly<Record<string, Partial<LeafHealth>>>,
  more: Partial<LeafChoiceContext> = {},
): LeafChoiceContext {
  return {
    nowMs: 1_000,
    eventLoopIdleMs: 1_000,
    health: (leafId) => ({ ...INITIAL_LEAF_HEALTH, meanMs: 20, ...conditions[leafId] }),
    distance: ({ dataCentre }) => (dataCentre === "here" ? "zone" : "remote"),
    excluded: new Set(),
    ...more,
  };
}

t.test("chooseLeaf() prefers the near leaf of two that behave alike", async (t) => {
  t.equal(chooseLeaf([FAR, NEAR], viewOf({}))?.leaf, NEAR);
});

t.test("chooseLeaf() turns from a near leaf that refuses half of its calls", async (t) => {
  const shedding = { failureRate: 0.45, lastFailureAtMs: 900 };
  t.equal(chooseLeaf([NEAR, FAR], viewOf({ "b near": shedding }))?.leaf, FAR);
  const both = viewOf({ "b near": shedding, "a far": shedding });
  t.equal(chooseLeaf([NEAR, FAR], both)?.leaf, NEAR, "not where the other is no better");
  const single = { failureRate: 0.12, lastFailureAtMs: 900 };
  t.equal(chooseLeaf([NEAR, FAR], viewOf({ "b near": single }))?.leaf, NEAR, "nor for one loss");
});

t.test("chooseLeaf() judges silence by the time that the box itself had", async (t) => {
  const open = { openCalls: [{ callId: 1, sentAtIdleMs: 990 }] };
  const busy = viewOf({ "b near": open }, { nowMs: 5_000 });
  t.equal(chooseLeaf([NEAR, FAR], busy)?.leaf, NEAR);
  const waiting = viewOf({ "b near": open }, { nowMs: 5_000, eventLoopIdleMs: 1_200 });
  t.equal(chooseLeaf([NEAR, FAR], waiting)?.leaf, FAR);
});

t.test("isSilent() counts from the leaf's last answer, whatever call that was", async (t) => {
  const long = { openCalls: [{ callId: 1, sentAtIdleMs: 0 }], meanMs: 20 };
  t.ok(isUnresponsive({ ...INITIAL_LEAF_HEALTH, ...long }, 900));
  t.notOk(isUnresponsive({ ...INITIAL_LEAF_HEALTH, ...long, lastAnswerAtIdleMs: 880 }, 900));
  t.notOk(
    isUnresponsive({ ...INITIAL_LEAF_HEALTH, lastAnswerAtIdleMs: 0 }, 900),
    "nothing is awaited",
  );
});

t.test("isSilent() tells a pause sooner where several calls are open", async (t) => {
  const one = [{ callId: 1, sentAtIdleMs: 850 }];
  const several = [...one, { callId: 2, sentAtIdleMs: 860 }];
  t.notOk(isUnresponsive({ ...INITIAL_LEAF_HEALTH, meanMs: 20, openCalls: one }, 900));
  t.ok(isUnresponsive({ ...INITIAL_LEAF_HEALTH, meanMs: 20, openCalls: several }, 900));
});

t.test("chooseLeaf() goes by the pace that a leaf reports now", async (t) => {
  const pace = { factor: 11, reportedAtMs: 990, sinceMs: 990 };
  const view = viewOf({ "b near": { slowdown: pace } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([FAR, NEAR], view)?.leaf, FAR);
  t.equal(chooseLeaf([FAR, NEAR], { ...view, nowMs: 2_000 })?.leaf, NEAR, "for a while");
});

t.test("chooseLeaf() keeps to a near leaf that is slow but in time", async (t) => {
  const slow = { factor: 2, reportedAtMs: 990, sinceMs: 990 };
  const inTime = viewOf({ "b near": { meanMs: 22, slowdown: slow } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([FAR, NEAR], inTime)?.leaf, NEAR);
  const late = viewOf({ "b near": { meanMs: 45, slowdown: slow } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([FAR, NEAR], late)?.leaf, FAR);
});

// On a day on which a query crashed 22 of 40 leafs the others had queues. Left for these, the calls of all queries met at
// the leafs of another region, and reached them 0.6 s after they were written (two plays of two; none without).
t.test("chooseLeaf() does not leave near leafs for their queues", async (t) => {
  const queued = viewOf({ "b near": { meanMs: 90 } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([FAR, NEAR], queued)?.leaf, NEAR);
});
