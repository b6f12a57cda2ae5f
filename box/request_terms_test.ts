import t from "tap";
import type { Route } from "../routing/mod.js";
import type { IncomingRequest } from "./caller_server.js";
import { requestTerms } from "./request_terms.js";

const ROUTE: Route = {
  name: "r",
  host: "h",
  prefix: "/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 200,
  priorityRank: 0,
  maxAttempts: 2,
  homes: [],
  target: { kind: "single", services: [{ service: "s", weight: 1 }] },
};

const ADMISSION = { maxAttempts: 2, finishShare: 1, maxQueueMs: 100 };

function arrived(waitMs: number | undefined, opensConnection = false): IncomingRequest {
  return {
    arrivedAtMs: 5_000,
    opensConnection,
    host: "h",
    terms: { requestId: "r1", waitMs },
    forwarded: {
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      fingerprint: "f",
    },
  };
}

t.test("requestTerms() uses the earlier of the caller's deadline and the timeout", async (t) => {
  const byRoute = requestTerms(arrived(6_000), ROUTE, ADMISSION);
  t.ok(byRoute.deadlineAtMs < 6_000 && byRoute.deadlineAtMs > 5_900);
  const byCaller = requestTerms(arrived(500), ROUTE, ADMISSION);
  t.ok(byCaller.deadlineAtMs < 5_500 && byCaller.deadlineAtMs > 5_400);
  t.same(requestTerms(arrived(undefined), ROUTE, ADMISSION), byRoute);
});

t.test("requestTerms() reserves time for opening a new connection", async (t) => {
  const reused = requestTerms(arrived(1_000), ROUTE, ADMISSION);
  const opened = requestTerms(arrived(1_000, true), ROUTE, ADMISSION);
  t.ok(opened.objectiveAtMs < reused.objectiveAtMs && reused.objectiveAtMs < 5_200);
});

t.test("requestTerms() leaves at least 1 ms when hardly any time remains", async (t) => {
  const late = requestTerms(arrived(1), ROUTE, ADMISSION);
  t.equal(late.deadlineAtMs, 5_001);
});
