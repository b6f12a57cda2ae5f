import t from "tap";
import { findShortfall, type ShardChance } from "./hopeless_query.js";

function chances(count: number, chance: ShardChance): ReadonlyArray<ShardChance> {
  return Array.from({ length: count }, () => chance);
}

t.test(
  "findShortfall() holds queries back whose calls are lost and whose budgets are spent",
  async (t) => {
    const shedding = { lossShare: 0.6, extraCallsLeft: 0 };
    t.ok(
      findShortfall(
        [...chances(31, { lossShare: 0, extraCallsLeft: 0 }), ...chances(56, shedding)],
        83,
      ),
    );
  },
);

t.test("findShortfall() lets begin what its budgets carry", async (t) => {
  const shedding = { lossShare: 0.4, extraCallsLeft: 9 };
  t.notOk(
    findShortfall(
      [...chances(31, { lossShare: 0, extraCallsLeft: 9 }), ...chances(56, shedding)],
      83,
    ),
  );
});

t.test(
  "findShortfall() never holds back where no call is lost, whatever the budgets",
  async (t) => {
    t.notOk(findShortfall(chances(87, { lossShare: 0, extraCallsLeft: -3 }), 87));
  },
);
