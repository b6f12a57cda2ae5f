import fc from "fast-check";
import t from "tap";
import { ExtraCallBudgets } from "./extra_call_budgets.js";

const SHARE = 0.2;
const SLACK_CALLS = 54;
const WINDOW_MS = 10_000;

interface BudgetsOptions {
  readonly nowMs?: () => number;
  readonly slackCalls?: number;
}

/** Creates the budgets of several boxes with a common clock. */
function budgetsOf(
  boxes: number,
  { nowMs = () => 0, slackCalls = SLACK_CALLS }: BudgetsOptions = {},
): ReadonlyArray<ExtraCallBudgets> {
  return Array.from({ length: boxes }, () => {
    return new ExtraCallBudgets({
      nowMs,
      windowMs: () => WINDOW_MS,
      share: () => SHARE,
      slackCalls: () => slackCalls,
      slackShare: () => 1 / boxes,
    });
  });
}

/** Times of events, in milliseconds. */
type Times = ReadonlyArray<number>;

function countWithin(times: Times, untilMs: number): number {
  return times.filter((atMs) => atMs > untilMs - WINDOW_MS && atMs <= untilMs).length;
}

t.test("all boxes together stay within the share and the slack in each window", async (t) => {
  const action = fc.record({ box: fc.nat(6), extra: fc.boolean(), afterMs: fc.nat(120) });
  fc.assert(
    fc.property(fc.array(action, { minLength: 100, maxLength: 1_500 }), (actions) => {
      let nowMs = 0;
      const budgets = budgetsOf(7, { nowMs: () => nowMs });
      const requests: Array<number> = [];
      const extra: Array<number> = [];
      return actions.every(({ box, extra: isExtra, afterMs }) => {
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

t.test("unused budget of a calm period is available immediately", async (t) => {
  let nowMs = 0;
  const [only] = budgetsOf(1, { nowMs: () => nowMs });
  nowMs = 2 * WINDOW_MS;
  for (let request = 0; request < 60; request++) {
    only?.credit("s");
    nowMs += 150;
  }
  let taken = 0;
  while (only?.tryTake("s", "retry")) {
    taken += 1;
  }
  t.ok(taken > 40, `${taken} calls in a row`);
  nowMs += 2 * WINDOW_MS;
  t.ok(only?.tryTake("s", "retry"), "the budget is available again in a later window");
});

/** Spends everything that budgets allow, and returns the number of calls. */
function spend(budgets: ReadonlyArray<ExtraCallBudgets>): number {
  let extra = 0;
  for (const each of budgets) {
    while (each.tryTake("s", "retry")) {
      extra += 1;
    }
  }
  return extra;
}

t.test("boxes that restart within a window stay within the total bound", async (t) => {
  let nowMs = 0;
  const before = budgetsOf(7, { nowMs: () => nowMs });
  nowMs = 3 * WINDOW_MS;
  const requests = 7 * 100;
  for (const each of before) {
    for (let request = 0; request < 100; request++) {
      each.credit("s");
    }
  }
  // All boxes spend their accumulated budget, then all restart twice within the same window.
  const extra = spend(before) + spend(budgetsOf(7)) + spend(budgetsOf(7));
  const allowed = SHARE * requests + SLACK_CALLS;
  t.ok(extra > 0 && extra <= allowed, `${extra} extra calls beside ${requests} requests`);
});

t.test("hedges leave a part of the budget to retries", async (t) => {
  let nowMs = 0;
  const [only] = budgetsOf(1, { nowMs: () => nowMs });
  nowMs = 2 * WINDOW_MS;
  let hedges = 0;
  while (only?.tryTake("s", "hedge")) {
    hedges += 1;
  }
  t.ok(hedges > 0);
  t.ok(only?.tryTake("s", "retry"));
});

t.test("boxes that restart three times within a window stay within the total bound", async (t) => {
  let nowMs = 0;
  // Enough for each box to have a part of several calls.
  const slackCalls = 700;
  const before = budgetsOf(7, { nowMs: () => nowMs, slackCalls });
  nowMs = 3 * WINDOW_MS;
  let extra = spend(before);
  for (let restart = 0; restart < 3; restart++) {
    extra += spend(budgetsOf(7, { slackCalls }));
  }
  t.ok(extra > 0 && extra <= slackCalls, `${extra} extra calls without requests`);
});
