import t from "tap";
import { calledLeafIds, GATHER_MANY, RequestDriver, replyOf } from "./_request_driver.js";

const FAILING = { s1: 0.9, s2: 0.9, s3: 0.9, s4: 0.9 };

t.test("a query whose calls are expected to fail is refused before any call is sent", async (t) => {
  const driver = new RequestDriver(GATHER_MANY, { failureRate: FAILING, extraCalls: 0 });
  t.same(calledLeafIds(driver.effects), [], "nothing is sent");
  const reply = replyOf(driver.effects);
  t.match(reply, { kind: "notRun", reason: "too many parts would be lost" });
  t.ok(
    reply?.kind === "notRun" && reply.shortfall,
    "the expected shortfall is available for the log",
  );
  t.ok(reply?.kind === "notRun" && reply.retryAfterMs > 0, "the caller receives a retry delay");
});

t.test("the same query is started if the budgets allow retries", async (t) => {
  const failureRate = { s1: 0.5, s2: 0.5, s3: 0.5, s4: 0.5 };
  const driver = new RequestDriver(GATHER_MANY, { failureRate, extraCalls: 10 });
  t.equal(calledLeafIds(driver.effects).length, 4);
});
