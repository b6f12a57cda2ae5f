import t from "tap";
import { calledLeafIds, GATHER, GATHER_MANY, RequestDriver, replyOf } from "./_request_driver.js";

t.test("a query is refused at once where most leafs near have too long a queue", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 80, s2: 60, s3: 90 } });
  const reply = replyOf(driver.effects);
  t.same(calledLeafIds(driver.effects), [], "nothing is sent");
  t.equal(reply?.kind, "notRun");
  t.ok(
    reply?.kind === "notRun" && reply.retryAfterMs >= 300,
    "the caller learns when to come back",
  );
});

t.test("a query is sent where only a slow shard has too long a queue", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 500, s2: 40, s3: 40 } });
  t.equal(calledLeafIds(driver.effects).length, 4);
});

t.test("a query is refused for queues at leafs that a box elsewhere would ask", async (t) => {
  const relayedLeafs = ["a", "b"];
  const calm = new RequestDriver(GATHER, {
    queueMs: { s1: 40, s2: 40 },
    remoteLeafs: relayedLeafs,
  });
  t.equal(replyOf(calm.effects), undefined);
  const busy = new RequestDriver(GATHER, {
    queueMs: { s1: 60, s2: 60 },
    remoteLeafs: relayedLeafs,
  });
  t.equal(replyOf(busy.effects)?.kind, "notRun");
});

t.test("in a crowd a shard is not asked again for time behind a long queue", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, {
    queueMs: { s1: 60, s2: 60, s3: 60 },
    persistentQueues: false,
  });
  t.equal(calledLeafIds(driver.effects).length, 4, "queues that may pass are no reason to refuse");
  driver.nowMs = 60;
  const hedged = calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
  t.same(hedged, ["s4-b"], "only the shard whose other leaf is free");
});

t.test("without a crowd one shard's queue is no reason to leave it out", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 60 } });
  driver.nowMs = 60;
  const hedged = calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
  t.same(hedged, ["s1-b", "s2-b", "s3-b", "s4-b"]);
});
