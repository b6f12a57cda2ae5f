import t from "tap";
import {
  answered,
  calledLeafIds,
  GATHER,
  GATHER_MANY,
  RequestDriver,
  replyOf,
} from "./_request_driver.js";

t.test("shards with remote leafs are called through one box near them", async (t) => {
  const driver = new RequestDriver(GATHER, { remote: true });
  t.match(driver.effects, [
    { kind: "wake" },
    { kind: "wake" },
    { kind: "relay", box: "box in south", calls: [{ service: "s1" }, { service: "s2" }] },
    { kind: "wake", timer: "hedge" },
  ]);
  const parts = {
    signatures: new Map([
      ["s1", "x"],
      ["s2", "y"],
    ]),
    records: Buffer.alloc(16, 4),
    failed: new Map(),
  };
  const reply = replyOf(driver.dispatch({ kind: "partsRelayed", attemptId: 1, parts }));
  t.match(reply, { kind: "merged", signatures: ["x", "y"], missingParts: 0 });
});

t.test(
  "relayed parts replace a direct part of the same shard, so that none counts twice",
  async (t) => {
    const driver = new RequestDriver(GATHER, { remote: true });
    driver.nowMs = 50;
    t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
    driver.endAttempt(2, answered(200, "direct", 9));
    const signatures = new Map([["s1", "relayed"]]);
    const parts = { signatures, records: Buffer.alloc(16, 4), failed: new Map() };
    driver.dispatch({ kind: "partsRelayed", attemptId: 1, parts });
    t.equal(driver.state.partsIn, 1);
    t.match(replyOf(driver.dispatch({ kind: "timer", timer: "objective" })), {
      kind: "merged",
      signatures: ["relayed"],
      records: Buffer.alloc(16, 4),
    });
  },
);

t.test("shards that another box could not collect are called directly", async (t) => {
  const driver = new RequestDriver(GATHER, { remote: true });
  const signatures = new Map([["s1", "x"]]);
  const parts = { signatures, records: Buffer.alloc(16, 4), failed: new Map() };
  driver.dispatch({ kind: "partsRelayed", attemptId: 1, parts });
  t.same(
    calledLeafIds(driver.endAttempt(1, { kind: "failed", sent: true, reason: "part is missing" })),
    ["s2-b"],
  );
});

t.test(
  "shards that another box declines go to another leaf immediately, without an extra call",
  async (t) => {
    const driver = new RequestDriver(GATHER, { remote: true, extraCalls: 0 });
    const parts = {
      signatures: new Map(),
      records: Buffer.alloc(0),
      failed: new Map([["s2", "declined" as const]]),
    };
    t.same(calledLeafIds(driver.dispatch({ kind: "partsRelayed", attemptId: 1, parts })), ["s2-b"]);
  },
);

t.test(
  "the leaf that a box was expected to call is called again if no other is left",
  async (t) => {
    const missing = { kind: "failed", sent: true, reason: "part is missing" } as const;
    const withoutBox = new RequestDriver(GATHER, { remote: true });
    withoutBox.leafs = ["a"];
    withoutBox.hasBox = false;
    t.same(
      calledLeafIds(withoutBox.endAttempt(1, missing)),
      ["s1-a", "s2-a"],
      "directly, without an available box",
    );
    const driver = new RequestDriver(GATHER, { remote: true });
    driver.leafs = ["a"];
    const leafs = [{ leafId: "s1-a" }, { leafId: "s2-a" }];
    t.match(driver.endAttempt(1, missing)[0], {
      kind: "relaySeparately",
      box: "box in south",
      calls: leafs,
    });
  },
);

t.test(
  "hedges to remote leafs go through one box there, which omits records below the threshold",
  async (t) => {
    const driver = new RequestDriver(GATHER_MANY, { remoteLeafs: ["b"] });
    driver.endAttempt(1, answered(200, "one", 5));
    driver.endAttempt(2, answered(200, "two", 7));
    driver.nowMs = 50;
    const effects = driver.dispatch({ kind: "timer", timer: "hedge" });
    t.match(effects[0], {
      kind: "relaySeparately",
      box: "box in south",
      calls: [
        { attemptId: 5, service: "s3", leafId: "s3-b" },
        { attemptId: 6, service: "s4", leafId: "s4-b" },
      ],
      minRecord: Buffer.alloc(16, 5),
    });
    t.same(calledLeafIds(effects), []);
    driver.endAttempt(5, answered(200, "three", 6));
    const reply = replyOf(driver.endAttempt(6, { ...answered(200, "four", 0) }));
    t.match(reply, { kind: "merged", missingParts: 0 });
  },
);

t.test("the record threshold ignores parts that a relaying box may still replace", async (t) => {
  const driver = new RequestDriver(GATHER, { remoteLeafs: ["a"] });
  driver.nowMs = 50;
  driver.dispatch({ kind: "timer", timer: "hedge" });
  driver.endAttempt(2, answered(200, "direct", 9));
  t.same(driver.state.shards[0]?.part?.signature, "direct");
  t.equal(driver.state.shards[0]?.open.length, 1, "the box's part of the shard may still arrive");
  driver.leafs = ["a", "b", "c"];
  const allRemote = new RequestDriver(GATHER, { remoteLeafs: ["a", "b", "c"] });
  allRemote.leafs = ["a", "b", "c"];
  const parts = {
    signatures: new Map([["s1", "x"]]),
    records: Buffer.alloc(16, 9),
    failed: new Map([["s2", "declined" as const]]),
  };
  const effects = allRemote.dispatch({ kind: "partsRelayed", attemptId: 1, parts });
  t.match(
    effects[0],
    { kind: "relaySeparately", minRecord: undefined },
    "one of two records has been received",
  );
});

t.test(
  "shards of a relay request are not hedged before their parts can have arrived",
  async (t) => {
    const driver = new RequestDriver(GATHER, { remote: true });
    driver.nowMs = 42;
    t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), []);
    t.match(driver.effects, [{ kind: "wake", timer: "hedge" }]);
  },
);

t.test("hedges are sent directly if the only box near the leafs is late", async (t) => {
  const driver = new RequestDriver(GATHER, { remote: true, remoteLeafs: ["a", "b"] });
  driver.isBoxLate = true;
  driver.nowMs = 50;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
});
