import t from "tap";
import {
  answered,
  calls,
  Driver,
  GATHER_MANY,
  replyOf,
  SINGLE,
  UNREPEATABLE,
} from "./_request_driver.js";

const LOST = { kind: "failed", sent: true, reason: "closed", connectionLost: true } as const;
const HELD = {
  kind: "failed",
  sent: false,
  reason: "leafs were lost under it",
  barrier: { kind: "quarantined", fingerprint: "q" },
} as const;

/** Lets the waiting shards have their turn. */
function nextTurn(driver: Driver): ReadonlyArray<string> {
  driver.nowMs += 15;
  return calls(driver.take({ kind: "timer", timer: "hedge" }));
}

t.test("a query that is held is refused before any leaf works for it", async (t) => {
  const driver = new Driver(GATHER_MANY, { calling: "held" });
  t.same(calls(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun", retryAfterMs: 700 });
});

t.test("a suspect asks one leaf, and all others once that has answered", async (t) => {
  const driver = new Driver(GATHER_MANY, { calling: "alone" });
  t.same(calls(driver.effects), ["s1-a"]);
  const call = driver.effects.find(({ kind }) => kind === "call");
  t.match(call, { isTrial: true });
  t.same(nextTurn(driver), [], "the others wait");
  driver.calling = "freely";
  driver.end(1, answered(200, "x"));
  t.same(nextTurn(driver), ["s2-a", "s3-a", "s4-a"]);
});

t.test("the calls that waited for a trial are no extra calls", async (t) => {
  const driver = new Driver(GATHER_MANY, { calling: "alone", extraCalls: 0 });
  driver.calling = "freely";
  driver.end(1, answered(200, "x"));
  t.equal(nextTurn(driver).length, 3);
});

t.test("a trial goes to its leaf directly, not through a box near it", async (t) => {
  const driver = new Driver(GATHER_MANY, { calling: "alone", far: true });
  t.same(calls(driver.effects), ["s1-a"]);
  t.notOk(driver.effects.some(({ kind }) => kind === "relay" || kind === "askThrough"));
});

t.test("while another request tries the query, a suspect waits and asks nobody", async (t) => {
  const driver = new Driver(GATHER_MANY, { calling: "later" });
  t.same(calls(driver.effects), []);
  t.equal(replyOf(driver.effects), undefined);
  driver.calling = "freely";
  t.equal(nextTurn(driver).length, 4);
});

t.test("leafs lost in a query without an answer are replaced one at a time", async (t) => {
  const driver = new Driver(GATHER_MANY);
  t.equal(calls(driver.effects).length, 4);
  driver.calling = "alone";
  t.same(calls(driver.end(1, LOST)), ["s1-b"]);
  t.same(calls(driver.end(2, LOST)), [], "a trial is under way");
  t.same(calls(driver.end(3, LOST)), []);
});

t.test("a query that is held from then on is given up at once, and may have run", async (t) => {
  const driver = new Driver(GATHER_MANY);
  driver.calling = "alone";
  driver.end(1, LOST);
  driver.calling = "held";
  driver.end(2, LOST);
  driver.end(3, LOST);
  const effects = driver.end(4, LOST);
  t.match(replyOf(effects), { kind: "failed", reason: "leafs failed" });
});

t.test("a shard whose call another box held is not asked elsewhere", async (t) => {
  const driver = new Driver(GATHER_MANY);
  driver.calling = "held";
  t.same(calls(driver.end(1, HELD)), []);
  t.same(calls(driver.end(2, HELD)), []);
  const reply = replyOf(driver.end(3, HELD));
  t.match(reply, { kind: "failed" }, "the fourth call may still run");
});

t.test("a suspect to one leaf that must not run twice is asked once or refused", async (t) => {
  const trying = new Driver(UNREPEATABLE, { calling: "alone" });
  t.same(calls(trying.effects), ["s1-a"]);
  const waiting = new Driver(UNREPEATABLE, { calling: "later" });
  t.match(
    replyOf(waiting.effects),
    { kind: "notRun" },
    "nothing would wake it before its deadline",
  );
});

t.test("a repeatable suspect to one leaf waits for its turn", async (t) => {
  const driver = new Driver(SINGLE, { calling: "later" });
  t.equal(replyOf(driver.effects), undefined);
  driver.calling = "alone";
  t.same(nextTurn(driver), ["s1-a"]);
});
