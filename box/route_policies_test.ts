import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import type { Route } from "../routing/mod.js";
import { type AdmissionInput, RoutePolicies, readPolicies } from "./route_policies.js";

const ROUTE: Route = {
  name: "sweep",
  host: "h",
  prefix: "/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 100,
  priorityRank: 3,
  maxAttempts: 2,
  homes: [],
  target: { kind: "gather", shards: ["a"], topRecords: 1, leastShare: 0.5 },
};

const INPUT: AdmissionInput = {
  route: ROUTE,
  caller: "h",
  waitMs: 1_000,
  runningRequests: 0,
  boxCount: 2,
  nowMs: 0,
};

async function policiesOf(sources: object): Promise<RoutePolicies> {
  const path = join(mkdtempSync(join(tmpdir(), "rackvale-policies-")), "policies.json");
  writeFileSync(path, JSON.stringify(sources));
  const compiled = await readPolicies(path);
  return new RoutePolicies(compiled._unsafeUnwrap(), () => undefined);
}

t.test("without programs the route's own settings apply", async (t) => {
  const admission = new RoutePolicies(undefined, () => undefined).admit(INPUT);
  t.match(admission, { refusal: "", maxAttempts: 2, finishShare: 1, placement: "least-loaded" });
});

t.test(
  "programs decide placement, retries, coverage and refusals, but never add attempts",
  async (t) => {
    const policies = await policiesOf({
      "*": {
        place: "'nearest'",
        retry: "5",
        finish: "0.75",
        refuse: "request.priority == 'low' && load.inFlight > 10 ? 'busy' : ''",
      },
    });
    const admission = policies.admit(INPUT);
    t.match(admission, { refusal: "", maxAttempts: 2, finishShare: 0.75, placement: "nearest" });
    t.equal(policies.admit({ ...INPUT, runningRequests: 11 }).refusal, "busy");
  },
);

t.test("a route's own programs take precedence over those of all routes", async (t) => {
  const policies = await policiesOf({ "*": { refuse: "'no'" }, sweep: { retry: "0" } });
  t.match(policies.admit(INPUT), { refusal: "", maxAttempts: 1 });
  t.equal(policies.admit({ ...INPUT, route: { ...ROUTE, name: "other" } }).refusal, "no");
});

t.test("a caller's rate is divided among the boxes and refusals state when to retry", async (t) => {
  const policies = await policiesOf({ "*": { limit: "4" } });
  const refusals = [0, 0, 0].map(() => policies.admit(INPUT).refusal);
  t.same(refusals.slice(0, 2), ["", ""]);
  t.not(refusals[2], "");
  t.equal(policies.admit(INPUT).retryAfterMs, 500);
  t.equal(policies.admit({ ...INPUT, nowMs: 500 }).refusal, "");
});

t.test("readPolicies() names the route of an invalid program", async (t) => {
  const path = join(mkdtempSync(join(tmpdir(), "rackvale-policies-")), "policies.json");
  writeFileSync(path, JSON.stringify({ sweep: { retry: "no.such" } }));
  const compiled = await readPolicies(path);
  t.match(compiled._unsafeUnwrapErr(), /^Cannot accept policies of route "sweep"/);
  t.match((await readPolicies("/no/such"))._unsafeUnwrapErr(), /^Cannot read policies/);
});
