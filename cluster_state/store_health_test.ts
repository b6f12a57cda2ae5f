import t from "tap";
import type { LogFields } from "../telemetry/mod.js";
import { StoreHealth } from "./store_health.js";

t.test("a failed call is logged with its duration and the age of the last answer", async (t) => {
  let nowMs = 1_000;
  const lines: Array<readonly [string, LogFields | undefined]> = [];
  const counted: Array<unknown> = [];
  const health = new StoreHealth({
    nowMs: () => nowMs,
    telemetry: {
      event: (_level, message, fields) => lines.push([message, fields]),
      storeAnswers: { inc: (labels: unknown) => counted.push(labels) } as never,
    },
  });
  const unused = { onList: () => undefined, onChanges: () => undefined };
  const leafs = health.listener("leafs", unused);
  const routes = health.listener("routes", unused);
  leafs.onAnswer();
  nowMs += 4_000;
  routes.onAnswer();
  nowMs += 2_000;
  const error = { kind: "unclear", message: "no answer" } as const;
  leafs.onFailed({ error, tookMs: 6_000, failures: 1 });
  leafs.onFailed({ error, tookMs: 700, failures: 2 });
  const first = { kind: "leafs", tookMs: 6_000, failures: 1, answeredAgoMs: 6_000 };
  t.same(lines, [
    ["store: unreachable", { ...first, reason: "no answer" }],
    ["store: still unreachable", { ...first, tookMs: 700, failures: 2, reason: "no answer" }],
  ]);
  t.same(
    [...health.answeredAgoMs()],
    [
      ["leafs", 6_000],
      ["routes", 2_000],
    ],
  );
  t.notOk(health.isReachable);
  t.same(counted.at(-1), { kind: "leafs", outcome: "unclear" });
});
