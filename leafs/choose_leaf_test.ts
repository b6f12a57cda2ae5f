import t from "tap";
import { chooseLeaf, isUnresponsive, type LeafChoiceContext } from "./choose_leaf.js";
import type { Leaf } from "./leaf.js";
import { INITIAL_LEAF_HEALTH, type LeafHealth } from "./leaf_health.js";

const LOCAL: Leaf = {
  leafId: "b local",
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

const REMOTE: Leaf = { ...LOCAL, leafId: "a remote", dataCentre: "there" };

function contextWith(
  health: Readonly<Record<string, Partial<LeafHealth>>>,
  overrides: Partial<LeafChoiceContext> = {},
): LeafChoiceContext {
  return {
    nowMs: 1_000,
    eventLoopIdleMs: 1_000,
    health: (leafId) => ({ ...INITIAL_LEAF_HEALTH, meanMs: 20, ...health[leafId] }),
    distance: ({ dataCentre }) => (dataCentre === "here" ? "zone" : "remote"),
    excluded: new Set(),
    ...overrides,
  };
}

t.test("chooseLeaf() prefers the local leaf of two with equal health", async (t) => {
  t.equal(chooseLeaf([REMOTE, LOCAL], contextWith({}))?.leaf, LOCAL);
});

t.test("chooseLeaf() avoids a local leaf that refuses half of its calls", async (t) => {
  const shedding = { failureRate: 0.45, lastFailureAtMs: 900 };
  t.equal(chooseLeaf([LOCAL, REMOTE], contextWith({ "b local": shedding }))?.leaf, REMOTE);
  const both = contextWith({ "b local": shedding, "a remote": shedding });
  t.equal(chooseLeaf([LOCAL, REMOTE], both)?.leaf, LOCAL, "local if the remote leaf is no better");
  const single = { failureRate: 0.12, lastFailureAtMs: 900 };
  t.equal(
    chooseLeaf([LOCAL, REMOTE], contextWith({ "b local": single }))?.leaf,
    LOCAL,
    "local after a single failure",
  );
});

t.test("chooseLeaf() detects unresponsive leafs by event-loop idle time", async (t) => {
  const open = { openCalls: [{ callId: 1, sentAtIdleMs: 990 }] };
  const busy = contextWith({ "b local": open }, { nowMs: 5_000 });
  t.equal(chooseLeaf([LOCAL, REMOTE], busy)?.leaf, LOCAL);
  const waiting = contextWith({ "b local": open }, { nowMs: 5_000, eventLoopIdleMs: 1_200 });
  t.equal(chooseLeaf([LOCAL, REMOTE], waiting)?.leaf, REMOTE);
});

t.test("isUnresponsive() measures from the leaf's last answer to any call", async (t) => {
  const long = { openCalls: [{ callId: 1, sentAtIdleMs: 0 }], meanMs: 20 };
  t.ok(isUnresponsive({ ...INITIAL_LEAF_HEALTH, ...long }, 900));
  t.notOk(isUnresponsive({ ...INITIAL_LEAF_HEALTH, ...long, lastAnswerAtIdleMs: 880 }, 900));
  t.notOk(
    isUnresponsive({ ...INITIAL_LEAF_HEALTH, lastAnswerAtIdleMs: 0 }, 900),
    "no call is open",
  );
});

t.test("isUnresponsive() detects a pause sooner with several open calls", async (t) => {
  const one = [{ callId: 1, sentAtIdleMs: 850 }];
  const several = [...one, { callId: 2, sentAtIdleMs: 860 }];
  t.notOk(isUnresponsive({ ...INITIAL_LEAF_HEALTH, meanMs: 20, openCalls: one }, 900));
  t.ok(isUnresponsive({ ...INITIAL_LEAF_HEALTH, meanMs: 20, openCalls: several }, 900));
});

t.test("chooseLeaf() considers the slowdown that a leaf reports", async (t) => {
  const slowdown = { factor: 11, reportedAtMs: 990, sinceMs: 990 };
  const context = contextWith({ "b local": { slowdown } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([REMOTE, LOCAL], context)?.leaf, REMOTE);
  t.equal(
    chooseLeaf([REMOTE, LOCAL], { ...context, nowMs: 2_000 })?.leaf,
    LOCAL,
    "the report has expired",
  );
});

t.test(
  "chooseLeaf() keeps a local leaf that is slow but within the latency objective",
  async (t) => {
    const slow = { factor: 2, reportedAtMs: 990, sinceMs: 990 };
    const inTime = contextWith({ "b local": { meanMs: 22, slowdown: slow } }, { objectiveMs: 100 });
    t.equal(chooseLeaf([REMOTE, LOCAL], inTime)?.leaf, LOCAL);
    const late = contextWith({ "b local": { meanMs: 45, slowdown: slow } }, { objectiveMs: 100 });
    t.equal(chooseLeaf([REMOTE, LOCAL], late)?.leaf, REMOTE);
  },
);

// Guards against moving all calls to another region while local leafs have queues.
t.test("chooseLeaf() keeps local leafs that only have queues", async (t) => {
  const queued = contextWith({ "b local": { meanMs: 90 } }, { objectiveMs: 100 });
  t.equal(chooseLeaf([REMOTE, LOCAL], queued)?.leaf, LOCAL);
});
