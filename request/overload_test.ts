import t from "tap";
import { calledLeafIds, GATHER, GATHER_MANY, RequestDriver, replyOf } from "./_request_driver.js";

t.test("a query is refused immediately if the queues of most leafs are too long", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 80, s2: 60, s3: 90 } });
  const reply = replyOf(driver.effects);
  t.same(calledLeafIds(driver.effects), [], "nothing is sent");
  t.equal(reply?.kind, "notRun");
  t.ok(reply?.kind === "notRun" && reply.retryAfterMs >= 300, "the caller receives a retry delay");
});

t.test("a query is sent if only the queue of one slow shard is too long", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 500, s2: 40, s3: 40 } });
  t.equal(calledLeafIds(driver.effects).length, 4);
});

t.test(
  "a query is refused for queues at leafs that would be called through a remote box",
  async (t) => {
    const remoteLeafs = ["a", "b"];
    const accepted = new RequestDriver(GATHER, {
      queueMs: { s1: 40, s2: 40 },
      remoteLeafs,
    });
    t.equal(replyOf(accepted.effects), undefined);
    const refused = new RequestDriver(GATHER, {
      queueMs: { s1: 60, s2: 60 },
      remoteLeafs,
    });
    t.equal(replyOf(refused.effects)?.kind, "notRun");
  },
);

t.test(
  "a shard is not hedged to a leaf with a long queue while most queues are long",
  async (t) => {
    const driver = new RequestDriver(GATHER_MANY, {
      queueMs: { s1: 60, s2: 60, s3: 60 },
      persistentQueues: false,
    });
    t.equal(calledLeafIds(driver.effects).length, 4, "short-lived queues are no reason to refuse");
    driver.nowMs = 60;
    const hedged = calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
    t.same(hedged, ["s4-b"], "only the shard whose other leaf has no queue");
  },
);

t.test("a shard with a long queue is still hedged while most queues are short", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { queueMs: { s1: 60 } });
  driver.nowMs = 60;
  const hedged = calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
  t.same(hedged, ["s1-b", "s2-b", "s3-b", "s4-b"]);
});
