import t from "tap";
import { calls, Driver, GATHER_MANY, replyOf } from "./_request_driver.js";

const LOST = { s1: 0.9, s2: 0.9, s3: 0.9, s4: 0.9 };

t.test("a query whose calls will be lost is refused before any leaf works for it", async (t) => {
  const driver = new Driver(GATHER_MANY, { lossShare: LOST, extraCalls: 0 });
  t.same(calls(driver.effects), [], "nothing is sent");
  const reply = replyOf(driver.effects);
  t.match(reply, { kind: "notRun", reason: "too many parts would be lost" });
  t.ok(reply?.kind === "notRun" && reply.shortfall, "the log tells what was to be expected");
  t.ok(reply?.kind === "notRun" && reply.retryAfterMs > 0, "the caller learns when to come back");
});

t.test("the same query is begun where the budgets allow to ask again", async (t) => {
  const lossShare = { s1: 0.5, s2: 0.5, s3: 0.5, s4: 0.5 };
  const driver = new Driver(GATHER_MANY, { lossShare, extraCalls: 10 });
  t.equal(calls(driver.effects).length, 4);
});
