import t from "tap";
import {
  answered,
  calledLeafIds,
  GATHER_MANY,
  NON_REPEATABLE,
  RequestDriver,
  replyOf,
  SINGLE,
} from "./_request_driver.js";

const CRASHED = { kind: "failed", sent: true, reason: "closed", connectionClosed: true } as const;
const BLOCKED = {
  kind: "failed",
  sent: false,
  reason: "query is quarantined",
  blockReason: { kind: "quarantined", fingerprint: "q" },
} as const;

/** Advances the clock to the next turn of deferred shards. */
function retryDeferred(driver: RequestDriver): ReadonlyArray<string> {
  driver.nowMs += 15;
  return calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
}

t.test("a blocked query is refused before any call is sent", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { permission: "blocked" });
  t.same(calledLeafIds(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun", retryAfterMs: 700 });
});

t.test("a suspected query calls one leaf first, and all others once it has answered", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { permission: "exclusive" });
  t.same(calledLeafIds(driver.effects), ["s1-a"]);
  const call = driver.effects.find(({ kind }) => kind === "call");
  t.match(call, { isTrial: true });
  t.same(retryDeferred(driver), [], "the other shards are deferred");
  driver.permission = "unrestricted";
  driver.endAttempt(1, answered(200, "x"));
  t.same(retryDeferred(driver), ["s2-a", "s3-a", "s4-a"]);
});

t.test("calls deferred by a trial call are not extra calls", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { permission: "exclusive", extraCalls: 0 });
  driver.permission = "unrestricted";
  driver.endAttempt(1, answered(200, "x"));
  t.equal(retryDeferred(driver).length, 3);
});

t.test("a trial call is sent to its leaf directly, not through a box near it", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { permission: "exclusive", remote: true });
  t.same(calledLeafIds(driver.effects), ["s1-a"]);
  t.notOk(driver.effects.some(({ kind }) => kind === "relay" || kind === "relaySeparately"));
});

t.test("a suspected query is deferred during a trial call of another request", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { permission: "deferred" });
  t.same(calledLeafIds(driver.effects), []);
  t.equal(replyOf(driver.effects), undefined);
  driver.permission = "unrestricted";
  t.equal(retryDeferred(driver).length, 4);
});

t.test("crashed leafs of an unanswered query are replaced one at a time", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  t.equal(calledLeafIds(driver.effects).length, 4);
  driver.permission = "exclusive";
  t.same(calledLeafIds(driver.endAttempt(1, CRASHED)), ["s1-b"]);
  t.same(calledLeafIds(driver.endAttempt(2, CRASHED)), [], "a trial call is in flight");
  t.same(calledLeafIds(driver.endAttempt(3, CRASHED)), []);
});

t.test("a query that becomes blocked fails immediately, and may have run", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  driver.permission = "exclusive";
  driver.endAttempt(1, CRASHED);
  driver.permission = "blocked";
  driver.endAttempt(2, CRASHED);
  driver.endAttempt(3, CRASHED);
  const effects = driver.endAttempt(4, CRASHED);
  t.match(replyOf(effects), { kind: "failed", reason: "leafs failed" });
});

t.test("a shard whose call another box blocked is not called elsewhere", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  driver.permission = "blocked";
  t.same(calledLeafIds(driver.endAttempt(1, BLOCKED)), []);
  t.same(calledLeafIds(driver.endAttempt(2, BLOCKED)), []);
  const reply = replyOf(driver.endAttempt(3, BLOCKED));
  t.match(reply, { kind: "failed" }, "the fourth call may still run");
});

t.test("a suspected non-repeatable request to a single leaf is sent once or refused", async (t) => {
  const trial = new RequestDriver(NON_REPEATABLE, { permission: "exclusive" });
  t.same(calledLeafIds(trial.effects), ["s1-a"]);
  const deferred = new RequestDriver(NON_REPEATABLE, { permission: "deferred" });
  t.match(
    replyOf(deferred.effects),
    { kind: "notRun" },
    "no timer would retry it before its deadline",
  );
});

t.test("a suspected repeatable request to a single leaf is deferred", async (t) => {
  const driver = new RequestDriver(SINGLE, { permission: "deferred" });
  t.equal(replyOf(driver.effects), undefined);
  driver.permission = "exclusive";
  t.same(retryDeferred(driver), ["s1-a"]);
});
