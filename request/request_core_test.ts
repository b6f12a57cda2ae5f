import t from "tap";
import type { Route } from "../routing/mod.js";
import {
  answered,
  calledLeafIds,
  GATHER,
  GATHER_MANY,
  NON_REPEATABLE,
  RequestDriver,
  replyOf,
  SINGLE,
} from "./_request_driver.js";

t.test("a query calls one leaf of each shard and merges once all parts are received", async (t) => {
  const driver = new RequestDriver(GATHER);
  t.same(calledLeafIds(driver.effects), ["s1-a", "s2-a"]);
  t.equal(replyOf(driver.endAttempt(1, answered(200, "x", 3))), undefined);
  const reply = replyOf(driver.endAttempt(2, answered(200, "y", 9)));
  t.match(reply, { kind: "merged", signatures: ["x", "y"], missingParts: 0 });
  t.same(
    reply?.kind === "merged" && reply.records,
    Buffer.concat([Buffer.alloc(16, 9), Buffer.alloc(16, 3)]),
  );
});

t.test("an unresponsive shard is hedged within the budget", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 1 });
  driver.endAttempt(1, answered(200, "x"));
  driver.nowMs = 45;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s2-b"]);
  const spent = new RequestDriver(GATHER, { extraCalls: 0 });
  spent.nowMs = 45;
  t.same(calledLeafIds(spent.dispatch({ kind: "timer", timer: "hedge" })), []);
});

t.test("two answers for one shard count as one part", async (t) => {
  const driver = new RequestDriver(GATHER);
  driver.nowMs = 45;
  driver.dispatch({ kind: "timer", timer: "hedge" });
  t.equal(replyOf(driver.endAttempt(1, answered(200, "x"))), undefined);
  t.equal(replyOf(driver.endAttempt(3, answered(200, "x2"))), undefined);
  t.equal(driver.state.partsIn, 1);
});

t.test("the minimum share suffices once the latency objective has passed", async (t) => {
  const early = new RequestDriver(GATHER);
  early.endAttempt(1, answered(200, "x"));
  t.match(replyOf(early.dispatch({ kind: "timer", timer: "objective" })), {
    kind: "merged",
    missingParts: 1,
  });
  const late = new RequestDriver(GATHER);
  t.equal(replyOf(late.dispatch({ kind: "timer", timer: "objective" })), undefined);
  late.nowMs = 150;
  t.match(late.endAttempt(2, answered(200, "y")), [
    { kind: "wake", timer: "lateReply", atMs: 155 },
  ]);
  t.match(replyOf(late.dispatch({ kind: "timer", timer: "lateReply" })), {
    kind: "merged",
    missingParts: 1,
  });
});

t.test("an answer that is late includes parts that arrive at almost the same time", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  driver.nowMs = 100;
  driver.dispatch({ kind: "timer", timer: "objective" });
  driver.nowMs = 900;
  for (const attemptId of [1, 2, 3]) {
    t.equal(replyOf(driver.endAttempt(attemptId, answered(200, "x"))), undefined);
  }
  t.match(replyOf(driver.endAttempt(4, answered(200, "x"))), { kind: "merged", missingParts: 0 });
});

t.test("a box that was stalled over the objective reads parts before it replies", async (t) => {
  const driver = new RequestDriver(GATHER);
  driver.endAttempt(1, answered(200, "x"));
  driver.nowMs = 900;
  t.equal(replyOf(driver.dispatch({ kind: "timer", timer: "objective" })), undefined);
  t.match(replyOf(driver.endAttempt(2, answered(200, "y"))), { kind: "merged", missingParts: 0 });
});

t.test("an error answer of a leaf is not a part, even with a signature", async (t) => {
  const driver = new RequestDriver(GATHER);
  t.same(calledLeafIds(driver.endAttempt(1, answered(500, "x"))), ["s1-b"]);
  t.equal(driver.state.partsIn, 0);
});

t.test("a query that cannot reach its minimum share is answered immediately", async (t) => {
  const driver = new RequestDriver({
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 1 },
  });
  driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" });
  t.match(replyOf(driver.endAttempt(3, { kind: "failed", sent: true, reason: "reset" })), {
    kind: "failed",
  });
});

t.test("a non-repeatable request is not sent again once a byte was sent", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  const effects = driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" });
  t.same(calledLeafIds(effects), []);
  t.match(replyOf(effects), { kind: "failed" });
  t.notOk(driver.effects.some((effect) => effect.kind === "wake"));
});

t.test(
  "a request that has not run is sent to another leaf, even if it is not repeatable",
  async (t) => {
    const unsent = new RequestDriver(NON_REPEATABLE);
    t.same(
      calledLeafIds(unsent.endAttempt(1, { kind: "failed", sent: false, reason: "refused" })),
      ["s1-b"],
    );
    const refused = new RequestDriver(NON_REPEATABLE);
    t.same(calledLeafIds(refused.endAttempt(1, { kind: "refused", reason: "full" })), ["s1-b"]);
    t.match(replyOf(refused.endAttempt(2, { kind: "refused", reason: "full" })), {
      kind: "notRun",
    });
  },
);

t.test("no request is reported as not run while an attempt may have run", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  t.match(replyOf(driver.dispatch({ kind: "timer", timer: "deadline" })), {
    kind: "failed",
    reason: "deadline",
  });
});

t.test("a shard has no more attempts than the route allows", async (t) => {
  const driver = new RequestDriver({ ...SINGLE, maxAttempts: 1 });
  driver.nowMs = 45;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), []);
  t.same(calledLeafIds(driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" })), []);
});

t.test("a success without a signature is not passed on", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  t.match(replyOf(driver.endAttempt(1, answered(200, ""))), { kind: "failed" });
});

t.test("all calls are abandoned when the caller disconnects", async (t) => {
  const driver = new RequestDriver(GATHER);
  const effects = driver.dispatch({ kind: "callerGone" });
  t.same(
    effects.map(({ kind }) => kind),
    ["abandon", "abandon"],
  );
  t.same(calledLeafIds(driver.endAttempt(1, answered(500, ""))), []);
});

t.test("a policy's share of the parts suffices before the latency objective", async (t) => {
  const driver = new RequestDriver(GATHER, { finishShare: 0.5 });
  t.match(replyOf(driver.endAttempt(1, answered(200, "x"))), { kind: "merged", missingParts: 1 });
});

t.test("nothing is sent if too many shards have no leaf, and the reply says so", async (t) => {
  const mostShards: Route = {
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.9 },
  };
  const driver = new RequestDriver(mostShards, { withoutLeafs: ["s2"] });
  t.same(calledLeafIds(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun" });
  const fewer = new RequestDriver(GATHER, { withoutLeafs: ["s2"] });
  t.same(calledLeafIds(fewer.effects), ["s1-a"], "half of the shards suffice");
});

t.test("a reply withdraws the open calls of which nothing has been sent", async (t) => {
  const driver = new RequestDriver(GATHER);
  driver.endAttempt(1, answered(200, "one"));
  const effects = driver.dispatch({ kind: "timer", timer: "objective" });
  t.equal(replyOf(effects)?.kind, "merged");
  const withdrawn = effects.filter(({ kind }) => kind === "withdraw");
  t.same(withdrawn, [{ kind: "withdraw", attemptId: 2 }]);
});

t.test("a hedge that the budget refused is tried again later", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 0 });
  driver.nowMs = 60;
  const refused = driver.dispatch({ kind: "timer", timer: "hedge" });
  t.same(calledLeafIds(refused), []);
  const [wake] = refused.filter((effect) => effect.kind === "wake");
  t.match(wake, { kind: "wake", timer: "hedge" });
  driver.nowMs = wake?.kind === "wake" ? wake.atMs : 0;
  driver.extraCalls = 2;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
});

const REFUSED = { kind: "refused", reason: "full" } as const;

t.test("a leaf that refused is called again a few times if no other is left", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 10 });
  t.same(calledLeafIds(driver.endAttempt(1, REFUSED)), ["s1-b"], "the other leaf first");
  t.same(calledLeafIds(driver.endAttempt(3, REFUSED)), ["s1-a"]);
  t.same(calledLeafIds(driver.endAttempt(4, REFUSED)), ["s1-a"]);
  t.same(calledLeafIds(driver.endAttempt(5, REFUSED)), [], "then the shard fails");
  t.equal(driver.state.partsLost, 1);
});

t.test("a leaf that refused is not called again if its queue is long", async (t) => {
  const driver = new RequestDriver(GATHER, { queueMs: { s1: 60 } });
  driver.endAttempt(1, REFUSED);
  t.same(calledLeafIds(driver.endAttempt(3, REFUSED)), []);
});

t.test("a retry is charged as a hedge if the open calls reach the minimum share", async (t) => {
  const kinds: Array<string> = [];
  const driver = new RequestDriver(GATHER_MANY, { onExtraCall: (kind) => kinds.push(kind) });
  driver.endAttempt(1, answered(500, "x"));
  t.same(kinds, ["hedge"], "calls for three of four shards are open, two suffice");
  driver.endAttempt(2, answered(500, "x"));
  driver.endAttempt(3, answered(500, "x"));
  driver.endAttempt(5, answered(500, "x"));
  driver.endAttempt(6, answered(500, "x"));
  t.equal(kinds.at(-1), "hedge");
  const all = { ...GATHER_MANY, target: { ...GATHER_MANY.target, leastShare: 1 } } as Route;
  const needed: Array<string> = [];
  new RequestDriver(all, { onExtraCall: (kind) => needed.push(kind) }).endAttempt(
    1,
    answered(500, "x"),
  );
  t.same(needed, ["retry"], "each shard is needed");
});

t.test("a shard is not hedged for time in which the box itself was stalled", async (t) => {
  const driver = new RequestDriver(GATHER);
  driver.nowMs = 45;
  driver.eventLoopIdleMs = 10;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), []);
  t.match(driver.effects, [{ kind: "wake", timer: "hedge" }], "it is checked again");
  driver.nowMs = 80;
  driver.eventLoopIdleMs = 45;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
});

t.test("a shard without budget is deferred", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { extraCalls: 0 });
  driver.endAttempt(1, answered(500, "x"));
  driver.endAttempt(2, answered(500, "x"));
  t.equal(replyOf(driver.endAttempt(3, answered(500, "x"))), undefined, "the query has not failed");
  driver.extraCalls = 10;
  driver.nowMs = 20;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), [
    "s1-b",
    "s2-b",
    "s3-b",
  ]);
  t.equal(driver.state.partsLost, 0);
});

t.test("a shard that stays deferred for too long fails", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 0 });
  driver.endAttempt(1, answered(500, "x"));
  driver.endAttempt(2, answered(500, "x"));
  for (driver.nowMs = 20; driver.nowMs < 400 && !driver.state.done; driver.nowMs += 20) {
    driver.dispatch({ kind: "timer", timer: "hedge" });
  }
  t.match(replyOf(driver.effects), { kind: "failed" });
  t.ok(driver.nowMs <= 220, `failed after ${driver.nowMs} ms with a latency objective of 100 ms`);
});
