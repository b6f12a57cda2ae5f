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

/** Spends all that budgets allow; tells how many calls that were. */
function spend(budgets: ReadonlyArray<ExtraCallBudgets>): number {
  let extra = 0;
  for (const each of budgets) {
    while (each.take("s", "retry")) {
      extra += 1;
    }
  }
  return extra;
}

t.test("boxes that start anew within a window keep the sum within the bound", async (t) => {
  const before = budgetsOf(7);
  const requests = 7 * 100;
  for (const each of before) {
    for (let request = 0; request < 100; request++) {
      each.credit("s");
    }
  }
  // All boxes spend what they have saved up, then all start anew twice within the same window.
  const extra = spend(before) + spend(budgetsOf(7)) + spend(budgetsOf(7));
  t.ok(extra > 0 && extra <= SLACK_CALLS, `${extra} extra calls beside ${requests} requests`);
});

t.test("hedges leave retries some of the budget", async (t) => {
  const [only] = budgetsOf(1);
  while (only?.take("s", "hedge")) {
    // Takes all that hedges may have.
  }
  t.ok(only?.take("s", "retry"));
});
