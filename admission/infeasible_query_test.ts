import t from "tap";
import { findShortfall, type ShardExpectation } from "./infeasible_query.js";

function shardsWith(count: number, expectation: ShardExpectation): ReadonlyArray<ShardExpectation> {
  return Array.from({ length: count }, () => expectation);
}

t.test("findShortfall() detects a high failure rate with exhausted budgets", async (t) => {
  const shedding = { failureRate: 0.6, extraCallsLeft: 0 };
  t.ok(
    findShortfall(
      [...shardsWith(31, { failureRate: 0, extraCallsLeft: 0 }), ...shardsWith(56, shedding)],
      83,
    ),
  );
});

t.test("findShortfall() accepts queries whose budgets cover the failures", async (t) => {
  const shedding = { failureRate: 0.4, extraCallsLeft: 9 };
  t.notOk(
    findShortfall(
      [...shardsWith(31, { failureRate: 0, extraCallsLeft: 9 }), ...shardsWith(56, shedding)],
      83,
    ),
  );
});

t.test("findShortfall() accepts queries without failures, whatever their budgets", async (t) => {
  t.notOk(findShortfall(shardsWith(87, { failureRate: 0, extraCallsLeft: -3 }), 87));
});
