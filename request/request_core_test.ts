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

t.test("a query asks one leaf of each shard and merges when all parts are in", async (t) => {
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

t.test("a shard that is silent is asked a second time, within the budget", async (t) => {
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

t.test("past the aim the least share suffices, at once or when it comes in", async (t) => {
  const early = new RequestDriver(GATHER);
  early.endAttempt(1, answered(200, "x"));
  t.match(replyOf(early.dispatch({ kind: "timer", timer: "aim" })), {
    kind: "merged",
    missingParts: 1,
  });
  const late = new RequestDriver(GATHER);
  t.equal(replyOf(late.dispatch({ kind: "timer", timer: "aim" })), undefined);
  t.match(replyOf(late.endAttempt(2, answered(200, "y"))), { kind: "merged", missingParts: 1 });
});

t.test("a leaf's failure is no part, even with a signature", async (t) => {
  const driver = new RequestDriver(GATHER);
  t.same(calledLeafIds(driver.endAttempt(1, answered(500, "x"))), ["s1-b"]);
  t.equal(driver.state.partsIn, 0);
});

t.test("a query that cannot reach its least share is answered at once", async (t) => {
  const driver = new RequestDriver({
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 1 },
  });
  driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" });
  t.match(replyOf(driver.endAttempt(3, { kind: "failed", sent: true, reason: "reset" })), {
    kind: "failed",
  });
});

t.test("a request that must not run twice is not sent again once a byte went out", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  const effects = driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" });
  t.same(calledLeafIds(effects), []);
  t.match(replyOf(effects), { kind: "failed" });
  t.notOk(driver.effects.some((effect) => effect.kind === "wake"));
});

t.test("a request that has not run goes to another leaf, whatever its kind", async (t) => {
  const unsent = new RequestDriver(NON_REPEATABLE);
  t.same(calledLeafIds(unsent.endAttempt(1, { kind: "failed", sent: false, reason: "refused" })), [
    "s1-b",
  ]);
  const refused = new RequestDriver(NON_REPEATABLE);
  t.same(calledLeafIds(refused.endAttempt(1, { kind: "refused", reason: "full" })), ["s1-b"]);
  t.match(replyOf(refused.endAttempt(2, { kind: "refused", reason: "full" })), { kind: "notRun" });
});

t.test("no request is told not to have run while an attempt may have", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  t.match(replyOf(driver.dispatch({ kind: "timer", timer: "deadline" })), {
    kind: "failed",
    reason: "deadline",
  });
});

t.test("a shard is never sent to more leafs than the route allows", async (t) => {
  const driver = new RequestDriver({ ...SINGLE, maxAttempts: 1 });
  driver.nowMs = 45;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), []);
  t.same(calledLeafIds(driver.endAttempt(1, { kind: "failed", sent: true, reason: "reset" })), []);
});

t.test("a success without a signature is never passed on", async (t) => {
  const driver = new RequestDriver(NON_REPEATABLE);
  t.match(replyOf(driver.endAttempt(1, answered(200, ""))), { kind: "failed" });
});

t.test("all calls are abandoned when the caller goes", async (t) => {
  const driver = new RequestDriver(GATHER);
  const effects = driver.dispatch({ kind: "callerGone" });
  t.same(
    effects.map(({ kind }) => kind),
    ["abandon", "abandon"],
  );
  t.same(calledLeafIds(driver.endAttempt(1, answered(500, ""))), []);
});

t.test("a policy's share of the parts ends the wait before the aim", async (t) => {
  const driver = new RequestDriver(GATHER, { finishShare: 0.5 });
  t.match(replyOf(driver.endAttempt(1, answered(200, "x"))), { kind: "merged", missingParts: 1 });
});

t.test("nothing is sent where too many shards have no leaf, and the refusal is true", async (t) => {
  const most: Route = {
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.9 },
  };
  const driver = new RequestDriver(most, { withoutLeafs: ["s2"] });
  t.same(calledLeafIds(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun" });
  const fewer = new RequestDriver(GATHER, { withoutLeafs: ["s2"] });
  t.same(calledLeafIds(fewer.effects), ["s1-a"], "half of the parts suffice");
});

t.test(
  "an answer withdraws the calls that are still open, as far as nothing was sent",
  async (t) => {
    const driver = new RequestDriver(GATHER);
    driver.endAttempt(1, answered(200, "one"));
    const effects = driver.dispatch({ kind: "timer", timer: "aim" });
    t.equal(replyOf(effects)?.kind, "merged");
    const withdrawn = effects.filter(({ kind }) => kind === "withdraw");
    t.same(withdrawn, [{ kind: "withdraw", attemptId: 2 }]);
  },
);

t.test("a second call that the budget refused is asked for again a little later", async (t) => {
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

t.test("a leaf that refused is asked again where no other is left, a few times", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 10 });
  t.same(calledLeafIds(driver.endAttempt(1, REFUSED)), ["s1-b"], "the other one first");
  t.same(calledLeafIds(driver.endAttempt(3, REFUSED)), ["s1-a"]);
  t.same(calledLeafIds(driver.endAttempt(4, REFUSED)), ["s1-a"]);
  t.same(calledLeafIds(driver.endAttempt(5, REFUSED)), [], "then the shard is given up");
  t.equal(driver.state.partsLost, 1);
});

t.test("a leaf that refused is not asked again behind a queue", async (t) => {
  const driver = new RequestDriver(GATHER, { queueMs: { s1: 60 } });
  driver.endAttempt(1, REFUSED);
  t.same(calledLeafIds(driver.endAttempt(3, REFUSED)), []);
});

t.test("a retry is paid like a hedge where the answer would have its least share", async (t) => {
  const kinds: Array<string> = [];
  const driver = new RequestDriver(GATHER_MANY, { onExtraCall: (kind) => kinds.push(kind) });
  driver.endAttempt(1, answered(500, "x"));
  t.same(kinds, ["hedge"], "three of four shards are under way, two suffice");
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

t.test("a shard is not asked again for time that the box itself was busy", async (t) => {
  const driver = new RequestDriver(GATHER);
  driver.nowMs = 45;
  driver.eventLoopIdleMs = 10;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), []);
  t.match(driver.effects, [{ kind: "wake", timer: "hedge" }], "it is looked at again");
  driver.nowMs = 80;
  driver.eventLoopIdleMs = 45;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
});

t.test("a shard that no budget pays for waits for its next turn", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { extraCalls: 0 });
  driver.endAttempt(1, answered(500, "x"));
  driver.endAttempt(2, answered(500, "x"));
  t.equal(replyOf(driver.endAttempt(3, answered(500, "x"))), undefined, "nothing is given up");
  driver.extraCalls = 10;
  driver.nowMs = 20;
  t.same(calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" })), [
    "s1-b",
    "s2-b",
    "s3-b",
  ]);
  t.equal(driver.state.partsLost, 0);
});

t.test("a shard that has no turn for long is lost", async (t) => {
  const driver = new RequestDriver(GATHER, { extraCalls: 0 });
  driver.endAttempt(1, answered(500, "x"));
  driver.endAttempt(2, answered(500, "x"));
  for (driver.nowMs = 20; driver.nowMs < 400 && !driver.state.done; driver.nowMs += 20) {
    driver.dispatch({ kind: "timer", timer: "hedge" });
  }
  t.match(replyOf(driver.effects), { kind: "failed" });
  t.ok(driver.nowMs <= 220, `given up after ${driver.nowMs} ms at an aim of 100`);
});
