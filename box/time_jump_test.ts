import t from "tap";
import type { Member } from "../model/mod.js";
import { handleTimeJump } from "./time_jump.js";

const UPDATED_BOXES = [{ memberId: "box-2" }] as unknown as ReadonlyArray<Member>;

/** Returns the actions that a jump triggers. */
function jump(suspendedMs: number | undefined): ReadonlyArray<string> {
  const actions: Array<string> = [];
  handleTimeJump(
    { jumpMs: 3_000.4, suspendedMs },
    {
      fleet: {
        requestUpdates: (members) => actions.push(`query ${members.map((each) => each.memberId)}`),
      },
      view: { updateRecipients: () => UPDATED_BOXES },
      relays: { renewClock: () => actions.push("renew clock of relay requests") },
      runner: { answerOverdue: () => actions.push("answer overdue requests") },
      telemetry: { event: (_level, _sentence, fields) => actions.push(JSON.stringify(fields)) },
    },
  );
  return actions;
}

t.test("after a suspension other boxes are queried and overdue requests answered", async (t) => {
  t.same(jump(2_900.2), [
    '{"jumpMs":3000,"suspendedMs":2900}',
    "renew clock of relay requests",
    "query box-2",
    "answer overdue requests",
  ]);
});

t.test("an adjusted system clock is only logged", async (t) => {
  t.same(jump(0), ['{"jumpMs":3000,"suspendedMs":0}']);
});

t.test(
  "when a suspension is uncertain, other boxes are queried but no request is ended",
  async (t) => {
    t.same(jump(undefined), [
      '{"jumpMs":3000,"suspendedMs":"unknown"}',
      "renew clock of relay requests",
      "query box-2",
    ]);
  },
);
