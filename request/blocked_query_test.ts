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

const LOST = { kind: "failed", sent: true, reason: "closed", connectionClosed: true } as const;
const HELD = {
  kind: "failed",
  sent: false,
  reason: "leafs were lost under it",
  blockReason: { kind: "quarantined", fingerprint: "q" },
} as const;

/** Lets the waiting shards have their turn. */
function nextTurn(driver: RequestDriver): ReadonlyArray<string> {
  driver.nowMs += 15;
  return calledLeafIds(driver.dispatch({ kind: "timer", timer: "hedge" }));
}

t.test("a query that is held is refused before any leaf works for it", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { calling: "blocked" });
  t.same(calledLeafIds(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun", retryAfterMs: 700 });
});

t.test("a suspect asks one leaf, and all others once that has answered", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { calling: "exclusive" });
  t.same(calledLeafIds(driver.effects), ["s1-a"]);
  const call = driver.effects.find(({ kind }) => kind === "call");
  t.match(call, { isTrial: true });
  t.same(nextTurn(driver), [], "the others wait");
  driver.calling = "unrestricted";
  driver.endAttempt(1, answered(200, "x"));
  t.same(nextTurn(driver), ["s2-a", "s3-a", "s4-a"]);
});

t.test("the calls that waited for a trial are no extra calls", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { calling: "exclusive", extraCalls: 0 });
  driver.calling = "unrestricted";
  driver.endAttempt(1, answered(200, "x"));
  t.equal(nextTurn(driver).length, 3);
});

t.test("a trial goes to its leaf directly, not through a box near it", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { calling: "exclusive", remote: true });
  t.same(calledLeafIds(driver.effects), ["s1-a"]);
  t.notOk(driver.effects.some(({ kind }) => kind === "relay" || kind === "askThrough"));
});

t.test("while another request tries the query, a suspect waits and asks nobody", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { calling: "deferred" });
  t.same(calledLeafIds(driver.effects), []);
  t.equal(replyOf(driver.effects), undefined);
  driver.calling = "unrestricted";
  t.equal(nextTurn(driver).length, 4);
});

t.test("leafs lost in a query without an answer are replaced one at a time", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  t.equal(calledLeafIds(driver.effects).length, 4);
  driver.calling = "exclusive";
  t.same(calledLeafIds(driver.endAttempt(1, LOST)), ["s1-b"]);
  t.same(calledLeafIds(driver.endAttempt(2, LOST)), [], "a trial is under way");
  t.same(calledLeafIds(driver.endAttempt(3, LOST)), []);
});

t.test("a query that is held from then on is given up at once, and may have run", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  driver.calling = "exclusive";
  driver.endAttempt(1, LOST);
  driver.calling = "blocked";
  driver.endAttempt(2, LOST);
  driver.endAttempt(3, LOST);
  const effects = driver.endAttempt(4, LOST);
  t.match(replyOf(effects), { kind: "failed", reason: "leafs failed" });
});

t.test("a shard whose call another box held is not asked elsewhere", async (t) => {
  const driver = new RequestDriver(GATHER_MANY);
  driver.calling = "blocked";
  t.same(calledLeafIds(driver.endAttempt(1, HELD)), []);
  t.same(calledLeafIds(driver.endAttempt(2, HELD)), []);
  const reply = replyOf(driver.endAttempt(3, HELD));
  t.match(reply, { kind: "failed" }, "the fourth call may still run");
});

t.test("a suspect to one leaf that must not run twice is asked once or refused", async (t) => {
  const trying = new RequestDriver(NON_REPEATABLE, { calling: "exclusive" });
  t.same(calledLeafIds(trying.effects), ["s1-a"]);
  const waiting = new RequestDriver(NON_REPEATABLE, { calling: "deferred" });
  t.match(
    replyOf(waiting.effects),
    { kind: "notRun" },
    "nothing would wake it before its deadline",
  );
});

t.test("a repeatable suspect to one leaf waits for its turn", async (t) => {
  const driver = new RequestDriver(SINGLE, { calling: "deferred" });
  t.equal(replyOf(driver.effects), undefined);
  driver.calling = "exclusive";
  t.same(nextTurn(driver), ["s1-a"]);
});
