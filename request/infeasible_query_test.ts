import t from "tap";
import { calledLeafIds, GATHER_MANY, RequestDriver, replyOf } from "./_request_driver.js";

const LOST = { s1: 0.9, s2: 0.9, s3: 0.9, s4: 0.9 };

t.test("a query whose calls will be lost is refused before any leaf works for it", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { failureRate: LOST, extraCalls: 0 });
  t.same(calledLeafIds(driver.effects), [], "nothing is sent");
  const reply = replyOf(driver.effects);
  t.match(reply, { kind: "notRun", reason: "too many parts would be lost" });
  t.ok(reply?.kind === "notRun" && reply.shortfall, "the log tells what was to be expected");
  t.ok(reply?.kind === "notRun" && reply.retryAfterMs > 0, "the caller learns when to come back");
});

t.test("the same query is begun where the budgets allow to ask again", async (t) => {
  const lossShare = { s1: 0.5, s2: 0.5, s3: 0.5, s4: 0.5 };
  const driver = new RequestDriver(GATHER_MANY, { failureRate: lossShare, extraCalls: 10 });
  t.equal(calledLeafIds(driver.effects).length, 4);
});
