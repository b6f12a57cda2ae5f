import fc from "fast-check";
import t from "tap";
import { ExtraCallBudgets } from "./extra_call_budgets.js";

const SHARE = 0.2;
const SLACK_CALLS = 54;
const WINDOW_MS = 10_000;

/** Budgets of boxes that have run for a while, by one clock. */
function budgetsOf(
  boxes: number,
  { nowMs = () => 0 }: { readonly nowMs?: () => number } = {},
): ReadonlyArray<ExtraCallBudgets> {
  return Array.from({ length: boxes }, () => {
    return new ExtraCallBudgets({
      nowMs,
      windowMs: () => WINDOW_MS,
      share: () => SHARE,
      slackCalls: () => SLACK_CALLS,
      slackShare: () => 1 / boxes,
    });
  });
}

/** Things that happened, with their moments. */
type Moments = ReadonlyArray<number>;

function countWithin(moments: Moments, untilMs: number): number {
  return moments.filter((atMs) => atMs > untilMs - WINDOW_MS && atMs <= untilMs).length;
}

t.test("all boxes together stay within the share and the slack in each window", async (t) => {
  const act = fc.record({ box: fc.nat(6), extra: fc.boolean(), afterMs: fc.nat(120) });
  fc.assert(
    fc.property(fc.array(act, { minLength: 100, maxLength: 1_500 }), (acts) => {
      let nowMs = 0;
      const budgets = budgetsOf(7, { nowMs: () => nowMs });
      const requests: Array<number> = [];
      const extra: Array<number> = [];
      return acts.every(({ box, extra: isExtra, afterMs }) => {
        nowMs += afterMs;
        if (!isExtra) {
          budgets[box]?.credit("s");
          requests.push(nowMs);
        } else if (budgets[box]?.tryTake("s", "retry") === true) {
          extra.push(nowMs);
        }
        const allowed = SHARE * countWithin(requests, nowMs) + SLACK_CALLS;
        return countWithin(extra, nowMs) <= allowed;
      });
    }),
    { numRuns: 60, seed: 3 },
  );
  t.pass();
});

t.test("what a calm while has left over is there at once", async (t) => {
  let nowMs = 0;
  const [only] = budgetsOf(1, { nowMs: () => nowMs });
  for (let request = 0; request < 60; request++) {
    only?.credit("s");
    nowMs += 150;
  }
  let taken = 0;
  while (only?.tryTake("s", "retry")) {
    taken += 1;
  }
  t.ok(taken > 15, `${taken} calls in a row`);
  nowMs += 2 * WINDOW_MS;
  t.ok(only?.tryTake("s", "retry"), "and again in a later window");
});

/** Spends all that budgets allow; tells how many calls that were. */
function spend(budgets: ReadonlyArray<ExtraCallBudgets>): number {
  let extra = 0;
  for (const each of budgets) {
    while (each.tryTake("s", "retry")) {
      extra += 1;
    }
  }
  return extra;
}

t.test("boxes that start anew within a window keep the sum within the bound", async (t) => {
  let nowMs = 0;
  const before = budgetsOf(7, { nowMs: () => nowMs });
  nowMs = 3 * WINDOW_MS;
  const requests = 7 * 100;
  for (const each of before) {
    for (let request = 0; request < 100; request++) {
      each.credit("s");
    }
  }
  // All boxes spend what they have saved up, then all start anew twice within the same window.
  const extra = spend(before) + spend(budgetsOf(7)) + spend(budgetsOf(7));
  const allowed = SHARE * requests + SLACK_CALLS;
  t.ok(extra > 0 && extra <= allowed, `${extra} extra calls beside ${requests} requests`);
});

t.test("hedges leave retries some of the budget", async (t) => {
  const [only] = budgetsOf(1);
  while (only?.tryTake("s", "hedge")) {
    // Takes all that hedges may have.
  }
  t.ok(only?.tryTake("s", "retry"));
});
