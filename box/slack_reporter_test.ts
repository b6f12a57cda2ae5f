import t from "tap";
import { SlackReporter } from "./slack_reporter.js";

const INPUTS = { listedBoxes: 4, runningBoxes: 4 };

t.test("the share of extra calls is logged when it changes, with its inputs", async (t) => {
  let share = 0.25;
  const logged: Array<unknown> = [];
  const metric: Array<number> = [];
  const reporter = new SlackReporter({
    view: { slackShare: () => ({ share, ...INPUTS }) },
    telemetry: {
      event: (_level, _message, fields) => logged.push(fields),
      slackShare: { set: (value: number) => metric.push(value) } as never,
    },
  });
  for (const next of [0.25, 0.25, 0.26, 0.5]) {
    share = next;
    reporter.report();
  }
  t.same(logged, [
    { share: 0.25, before: 0, ...INPUTS },
    { share: 0.5, before: 0.25, ...INPUTS },
  ]);
  t.same(metric, [0.25, 0.25, 0.26, 0.5]);
});
