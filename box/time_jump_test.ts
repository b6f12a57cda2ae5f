import t from "tap";
import type { Member } from "../model/mod.js";
import { handleTimeJump } from "./time_jump.js";

const HEARERS = [{ memberId: "box-2" }] as unknown as ReadonlyArray<Member>;

/** Tells what a jump leads to. */
function jump(suspendedMs: number | undefined): ReadonlyArray<string> {
  const done: Array<string> = [];
  handleTimeJump(
    { jumpMs: 3_000.4, suspendedMs },
    {
      fleet: {
        requestUpdates: (members) => done.push(`ask ${members.map((each) => each.memberId)}`),
      },
      view: { updateRecipients: () => HEARERS },
      runner: { answerOverdue: () => done.push("answer what is overdue") },
      telemetry: { event: (_level, _sentence, fields) => done.push(JSON.stringify(fields)) },
    },
  );
  return done;
}

t.test("after a suspension other boxes are asked and overdue requests answered", async (t) => {
  t.same(jump(2_900.2), [
    '{"jumpMs":3000,"suspendedMs":2900}',
    "ask box-2",
    "answer what is overdue",
  ]);
});

t.test("a stepped time of day is logged, no more", async (t) => {
  t.same(jump(0), ['{"jumpMs":3000,"suspendedMs":0}']);
});

t.test("where it cannot be told, other boxes are asked and no request is given up", async (t) => {
  t.same(jump(undefined), ['{"jumpMs":3000,"suspendedMs":"unknown"}', "ask box-2"]);
});
