import fc from "fast-check";
import t from "tap";
import { ExtraCallBudgets } from "./extra_call_budgets.js";

const SHARE = 0.2;
const SLACK_CALLS = 54;

function budgetsOf(boxes: number): ReadonlyArray<ExtraCallBudgets> {
  return Array.from({ length: boxes }, () => {
    return new ExtraCallBudgets({
      share: () => SHARE,
      slackCalls: () => SLACK_CALLS,
      countBoxes: () => boxes,
    });
  });
}

t.test("all boxes together stay within the share and the slack, in any order", async (t) => {
  const act = fc.record({ box: fc.nat(6), extra: fc.boolean() });
  fc.assert(
    fc.property(fc.array(act, { minLength: 100, maxLength: 2_000 }), (acts) => {
      const budgets = budgetsOf(7);
      let requests = 0;
      let extra = 0;
      for (const { box, extra: isExtra } of acts) {
        if (isExtra) {
          extra += budgets[box]?.take("s", "retry") === true ? 1 : 0;
        } else {
          budgets[box]?.credit("s");
          requests += 1;
        }
      }
      return extra <= SHARE * requests + SLACK_CALLS;
    }),
    { numRuns: 200, seed: 3 },
  );
  t.pass();
});

t.test("a box that starts anew within a window keeps the sum within the bound", async (t) => {
  const budgets = [...budgetsOf(7), ...budgetsOf(7).slice(0, 5)];
  let extra = 0;
  for (const each of budgets) {
    while (each.take("s", "retry")) {
      extra += 1;
    }
  }
  t.ok(extra > 0 && extra <= SLACK_CALLS, `${extra} extra calls without a request`);
});

t.test("hedges leave retries some of the budget", async (t) => {
  const [only] = budgetsOf(1);
  while (only?.take("s", "hedge")) {
    // Takes all that hedges may have.
  }
  t.ok(only?.take("s", "retry"));
});
