import t from "tap";
import { findShortfall, type ShardExpectation } from "./infeasible_query.js";

function chances(count: number, chance: ShardExpectation): ReadonlyArray<ShardExpectation> {
  return Array.from({ length: count }, () => chance);
}

t.test(
  "findShortfall() holds queries back whose calls are lost and whose budgets are spent",
  async (t) => {
    const shedding = { failureRate: 0.6, extraCallsLeft: 0 };
    t.ok(
      findShortfall(
        [...chances(31, { failureRate: 0, extraCallsLeft: 0 }), ...chances(56, shedding)],
        83,
      ),
    );
  },
);

t.test("findShortfall() lets begin what its budgets carry", async (t) => {
  const shedding = { failureRate: 0.4, extraCallsLeft: 9 };
  t.notOk(
    findShortfall(
      [...chances(31, { failureRate: 0, extraCallsLeft: 9 }), ...chances(56, shedding)],
      83,
    ),
  );
});

t.test(
  "findShortfall() never holds back where no call is lost, whatever the budgets",
  async (t) => {
    t.notOk(findShortfall(chances(87, { failureRate: 0, extraCallsLeft: -3 }), 87));
  },
);
