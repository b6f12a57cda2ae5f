import t from "tap";
import { explainRequest } from "./explain_command.js";

function line(box: string, second: number, fields: object): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
  return JSON.stringify({ name: "rackvale-box", box, time, level: 30, ...fields });
}

t.test(
  "explainRequest() joins a request with the state changes of its box around it",
  async (t) => {
    const logs = [
      line("b", 9, { msg: "store: unreachable", kind: "leafs" }),
      line("a", 10, { msg: "request: answered", requestId: "r1", outcome: "failed" }),
      "12.5 a not a line of a box",
      line("a", 8, { msg: "leafs: changed", gone: ["i-1"] }),
      line("a", 60, { msg: "store: unreachable", kind: "leafs" }),
      line("a", 10, { msg: "request: answered", requestId: "r2" }),
    ];
    t.same(explainRequest("r1", logs), [
      '2026-01-01T00:00:08.000Z a leafs: changed gone=["i-1"]',
      '2026-01-01T00:00:10.000Z a request: answered outcome="failed"',
    ]);
  },
);

t.test("explainRequest() returns no lines for a request that no log contains", async (t) => {
  t.same(explainRequest("r9", [line("a", 1, { msg: "store: unreachable" })]), []);
});
