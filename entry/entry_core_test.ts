import fc from "fast-check";
import t from "tap";
import { naiveGather } from "../query/mod.js";
import { CoreHarness, testConfig, testMember, testShardMap } from "./_core_harness.js";
import type { CallResult, LeafCall } from "./entry_messages.js";

const LEAFS = 4;

function harness(shards = 3): CoreHarness {
  return new CoreHarness({ config: testConfig(LEAFS), shardMap: testShardMap(shards, LEAFS) });
}

function rowsOf(shard: string, count = 2) {
  return Array.from({ length: count }, (_, index) => ({ id: `${shard}/${index}`, price: index }));
}

function answered(call: LeafCall, change: object = {}): CallResult {
  const rows = rowsOf(call.shard);
  return {
    kind: "answered",
    callId: call.callId,
    snapshot: call.snapshot,
    shard: call.shard,
    rowCount: rows.length,
    rowsJson: JSON.stringify(rows),
    ...change,
  };
}

function failed(call: LeafCall): CallResult {
  return { kind: "failed", callId: call.callId, reason: "leaf failed" };
}

function refused(call: LeafCall): CallResult {
  return { kind: "refused", callId: call.callId, reason: "overloaded", retryAfterMs: 7 };
}

t.test(
  "the core merges the same rows as a naive scatter-gather, for any order and failures",
  async (t) => {
    const outcome = fc.constantFrom("answer", "drop", "other snapshot", "short", "fail", "refuse");
    fc.assert(
      fc.property(
        fc.array(fc.tuple(outcome, fc.nat(1_000), fc.boolean()), {
          minLength: 1,
          maxLength: 60,
          size: "max",
        }),
        fc.integer({ min: 1, max: 8 }),
        fc.boolean(),
        (outcomes, shards, isOrdered) => {
          const core = harness(shards);
          const merge = isOrdered ? { orderBy: "price", limitRows: 5 } : {};
          let open = [...core.query("q1", { merge })];
          const arrived: Array<{ snapshot: string; shard: string; rows: typeof rows }> = [];
          const rows = rowsOf("s0");
          for (const [kind, pick, isDuplicate] of outcomes) {
            const call = open[pick % Math.max(1, open.length)];
            if (call === undefined) {
              break;
            }
            open = open.filter((each) => each !== call);
            const results: Readonly<Record<typeof kind, CallResult | undefined>> = {
              answer: answered(call),
              drop: undefined,
              "other snapshot": answered(call, { snapshot: "v0" }),
              short: answered(call, { rowCount: 3 }),
              fail: failed(call),
              refuse: refused(call),
            };
            const result = results[kind];
            if (result !== undefined) {
              if (kind === "answer") {
                arrived.push({ snapshot: "v1", shard: call.shard, rows: rowsOf(call.shard) });
              }
              open.push(...core.deliver(result));
              if (isDuplicate) {
                open.push(...core.deliver(result));
              }
            }
          }
          core.nowMs += 492;
          core.send({ kind: "queryDeadline", id: "q1" });
          const answers = core.answersTo("q1");
          const names = Array.from({ length: shards }, (_, index) => `s${index}`);
          const naive = naiveGather(names, arrived, { snapshot: "v1", merge });
          t.same(core.invariantViolations, []);
          return (
            answers.length === 1 &&
            JSON.stringify(answers[0]?.rows) === JSON.stringify(naive.rows) &&
            JSON.stringify(answers[0]?.coverage.included) ===
              JSON.stringify(naive.coverage.included) &&
            answers[0]?.coverage.lacking.length === naive.coverage.lacking.length
          );
        },
      ),
      { numRuns: 3_000, seed: 42 },
    );
  },
);

t.test("the core never merges an answer from another snapshot", async (t) => {
  const core = harness(1);
  const [call] = core.query("q1", {});
  const [retry] = core.deliver(answered(call as LeafCall, { snapshot: "v2" }));
  t.not(retry?.leafId, call?.leafId, "the other replica is called");
  core.deliver(answered(retry as LeafCall, { snapshot: "v2" }));
  const [answer] = core.answersTo("q1");
  t.equal(answer?.outcome, "unknown");
  t.same(answer?.rows, []);
});

t.test("the core rejects an empty answer whose row count does not match", async (t) => {
  const core = harness(1);
  const [call] = core.query("q1", {});
  const [retry] = core.deliver(answered(call as LeafCall, { rowsJson: "[]" }));
  core.deliver(answered(retry as LeafCall));
  t.equal(core.answersTo("q1")[0]?.outcome, "complete");
});

t.test(
  "the core reports a query as not run only if every call was refused as not run",
  async (t) => {
    const core = harness(1);
    const [first] = core.query("q1", {});
    const [second] = core.deliver(refused(first as LeafCall));
    core.deliver(refused(second as LeafCall));
    t.match(core.answersTo("q1")[0], { outcome: "refused", notRun: true, retryAfterMs: 7 });
    const [third] = core.query("q2", {});
    const [fourth] = core.deliver(failed(third as LeafCall));
    core.deliver(refused(fourth as LeafCall));
    t.match(core.answersTo("q2")[0], { outcome: "unknown", notRun: false });
  },
);

t.test("the core neither hedges nor retries a query that is not repeatable", async (t) => {
  const core = harness(1);
  core.send({ kind: "ticketWanted", requestId: "r" });
  const given = core.effects.find((effect) => effect.kind === "giveTicket");
  const ticket = given?.kind === "giveTicket" ? given.ticket : "";
  const once = { repeatable: false, ticket, sequence: 1 };
  const [call] = core.query("q1", once);
  core.nowMs += 100;
  core.send({ kind: "hedge", id: call?.callId.split(".")[0] ?? "" });
  t.same(core.query("q2", once), [], "a repeat joins");
  t.same(core.deliver(failed(call as LeafCall)), []);
  t.match(core.answersTo("q1")[0], { outcome: "unknown" });
  t.match(core.answersTo("q2")[0], { outcome: "unknown" });
  t.same(core.query("q3", once), [], "a later repeat gets the same answer");
  t.match(core.answersTo("q3")[0], { outcome: "unknown" });
});

t.test(
  "the core answers a repeat by its own deadline while the first query is running",
  async (t) => {
    const core = harness(1);
    core.send({ kind: "ticketWanted", requestId: "r" });
    const given = core.effects.find((effect) => effect.kind === "giveTicket");
    const ticket = given?.kind === "giveTicket" ? given.ticket : "";
    const once = { repeatable: false, ticket, sequence: 1 };
    const [call] = core.query("q1", { ...once, deadlineMs: 5_000 });
    core.query("q2", { ...once, deadlineMs: 100 });
    core.nowMs += 92;
    core.send({ kind: "queryDeadline", id: "q2" });
    t.match(core.answersTo("q2")[0], { outcome: "unknown", notRun: false });
    core.deliver(answered(call as LeafCall));
    t.match(core.answersTo("q1")[0], { outcome: "complete" });
    t.equal(core.answersTo("q2").length, 1);
  },
);

t.test("the core reports an unknown outcome for a ticket whose entry is unknown", async (t) => {
  const core = harness(1);
  t.same(core.query("q1", { repeatable: false, ticket: "unknown~1", sequence: 1 }), []);
  t.match(core.answersTo("q1")[0], { outcome: "unknown", notRun: false });
});

t.test("the core shares identical calls only within one scope of rights", async (t) => {
  const core = harness(1);
  const body = { mark: "same" };
  const [call] = core.query("q1", { body, rights: "market" });
  t.same(core.query("q2", { body, rights: "market" }), []);
  t.equal(core.query("q3", { body, rights: "other" }).length, 1);
  core.deliver(answered(call as LeafCall));
  t.equal(core.answersTo("q1").length, 1);
  t.equal(core.answersTo("q2").length, 1);
  t.equal(core.answersTo("q3").length, 0);
});

t.test("the core does not join an urgent query to a less urgent call", async (t) => {
  const core = harness(1);
  const body = { mark: "same" };
  core.query("q1", { body, rights: "market", priority: "low" });
  t.equal(core.query("q2", { body, rights: "market", priority: "urgent" }).length, 1);
});

t.test("the core retries through the standby when a pool disconnects", async (t) => {
  const core = harness(1);
  const self = testMember("box-3/pool");
  const catalogHash = core.state.control.catalog.hash;
  const emptyExchange = { members: [], revisions: [], confirmedAgoMs: 0, joining: false };
  core.send({
    kind: "exchangeArrived",
    requestId: 2,
    exchange: { self, catalogHash, ...emptyExchange },
  });
  core.send({ kind: "poolOpened", poolId: "box-3/pool" });
  core.query("q1", {});
  const sent = core.effects.findLast((effect) => effect.kind === "sendCall");
  const failedPoolId = sent?.kind === "sendCall" ? sent.poolId : "";
  core.send({ kind: "poolLost", poolId: failedPoolId });
  const retried = core.effects.findLast((effect) => effect.kind === "sendCall");
  t.ok(retried?.kind === "sendCall" && retried.poolId !== failedPoolId);
});

t.test("the core limits each caller, returns a retry delay and removes idle callers", async (t) => {
  const config = testConfig(LEAFS, { policies: { limit: "2" } });
  const core = new CoreHarness({ config, shardMap: testShardMap(1, LEAFS) });
  core.query("q1", { caller: "ann" });
  core.query("q2", { caller: "ann" });
  t.same(core.query("q3", { caller: "ann" }), []);
  t.match(core.answersTo("q3")[0], { statusCode: 429, notRun: true, retryAfterMs: 500 });
  t.equal(core.query("q4", { caller: "ben" }).length, 1);
  core.nowMs += 20_000;
  core.send({ kind: "controlTick" });
  t.equal(core.state.callerBuckets.size, 0);
});

t.test("the core refuses queries as not run on an isolated box", async (t) => {
  const core = harness(1);
  core.nowMs += 60_000;
  t.same(core.query("q1", {}), []);
  t.match(core.answersTo("q1")[0], { outcome: "refused", notRun: true, statusCode: 503 });
});

t.test("the core refuses a query that would miss its deadline, with a retry delay", async (t) => {
  const core = harness(1);
  const reports = [0, 1].map((index) => {
    const leafId = `leaf-${index}`;
    return { service: "wide", leafId, waitMs: 900, serviceTimeMs: 50, available: true };
  });
  core.send({ kind: "resultsArrived", poolId: "box-2/pool", results: [], reports });
  t.same(core.query("q1", { deadlineMs: 300 }), []);
  const [answer] = core.answersTo("q1");
  t.match(answer, { outcome: "refused", notRun: true, statusCode: 503 });
  t.ok((answer?.retryAfterMs ?? 0) > 0);
});

t.test(
  "the core answers early at the policy's coverage and lists the lacking shards",
  async (t) => {
    const config = testConfig(LEAFS, {
      policies: { finish: "request.priority == 'urgent' ? 0.5 : 1.0" },
    });
    const core = new CoreHarness({ config, shardMap: testShardMap(2, LEAFS) });
    const [first] = core.query("q1", { priority: "urgent" });
    core.deliver(answered(first as LeafCall));
    t.match(core.answersTo("q1")[0], {
      outcome: "partial",
      coverage: { included: ["s0"], lacking: [{ shard: "s1", reason: "early finish" }] },
    });
  },
);

t.test(
  "the core restarts a query at the current snapshot when leafs have dropped the old one",
  async (t) => {
    const core = harness(2);
    const calls = core.query("q1", {});
    const later = testShardMap(3, LEAFS);
    const shardMap = {
      ...later,
      currentSnapshot: "v2",
      snapshots: [{ snapshot: "v2", shards: later.snapshots[0]?.shards ?? [] }],
    };
    const object = { kind: "shardmap", name: "wide", revision: 2, deleted: false } as const;
    core.send({ kind: "objectsFetched", objects: [{ ...object, history: [], value: shardMap }] });
    const wrongSnapshot = (call: LeafCall): CallResult => {
      return { kind: "refused", callId: call.callId, reason: "wrong snapshot", retryAfterMs: 0 };
    };
    core.deliver(answered(calls[0] as LeafCall));
    const retries = core.deliver(wrongSnapshot(calls[1] as LeafCall));
    const replanned = core.deliver(wrongSnapshot(retries[0] as LeafCall));
    t.equal(replanned.length, 3);
    t.ok(replanned.every((call) => call.snapshot === "v2"));
    for (const call of replanned) {
      core.deliver(answered(call));
    }
    t.match(core.answersTo("q1")[0], { outcome: "complete", snapshot: "v2" });
  },
);

t.test("a query of an entry without a connected pool waits for one", async (t) => {
  const core = harness(2);
  core.send({ kind: "poolLost", poolId: "box-2/pool" });
  t.equal(core.query("q1", { deadlineMs: 5_000 }).length, 0);
  t.same(core.answersTo("q1"), [], "it is not refused while there is time");
  core.nowMs += 400;
  const effects = core.send({ kind: "poolOpened", poolId: "box-2/pool" });
  const calls = effects.flatMap((effect) => (effect.kind === "sendCall" ? [effect.call] : []));
  t.same(
    calls.map(({ shard }) => shard),
    ["s0", "s1"],
  );
  for (const call of calls) {
    core.deliver(answered(call));
  }
  t.match(core.answersTo("q1"), [{ outcome: "complete" }]);
  t.same(core.invariantViolations, []);
});

t.test("the wait for a pool ends with a refusal as not run", async (t) => {
  const core = harness(1);
  core.send({ kind: "poolLost", poolId: "box-2/pool" });
  const { state } = core;
  core.query("q1", { deadlineMs: 5_000 });
  core.nowMs += 2_500;
  const [fetchId = ""] = core.state.fetches.keys();
  core.send({ kind: "poolWait", id: fetchId });
  const refusal = { outcome: "refused", notRun: true, statusCode: 503, retryAfterMs: 1_000 };
  t.match(core.answersTo("q1"), [refusal]);
  t.equal(core.state.fetches.size, state.fetches.size, "the fetch is removed");
  t.equal(core.state.fetchesByService.get("wide"), 0);
});

t.test("a query whose pools are lost one after the other is sent again", async (t) => {
  const core = harness(1);
  core.send({ kind: "poolOpened", poolId: "box-3/pool" });
  core.send({ kind: "poolOpened", poolId: "box-4/pool" });
  let [call] = core.query("q1", { deadlineMs: 5_000 });
  const lost: Array<string> = [];
  while (call !== undefined && lost.length < 3) {
    const { callId } = call;
    const poolId = core.state.fetches.first()?.attempts.at(-1)?.poolId ?? "";
    t.notOk(lost.includes(poolId), "through a pool that has not been lost");
    lost.push(poolId);
    const effects = core.send({ kind: "poolLost", poolId });
    const resent = effects.flatMap((effect) => (effect.kind === "sendCall" ? [effect.call] : []));
    t.notOk(resent.some((each) => each.callId === callId));
    [call] = resent;
  }
  t.equal(lost.length, 3);
  t.same(core.answersTo("q1"), [], "without any pool, it waits for one");
  core.nowMs += 300;
  const effects = core.send({ kind: "poolOpened", poolId: "box-4/pool" });
  const [last] = effects.flatMap((effect) => (effect.kind === "sendCall" ? [effect.call] : []));
  t.ok(last !== undefined, "and is sent once one is connected again");
  core.deliver(answered(last as LeafCall));
  t.match(core.answersTo("q1"), [{ outcome: "complete" }]);
});

t.test("a query that is not repeatable is not sent again after its pool is lost", async (t) => {
  const core = harness(1);
  core.send({ kind: "ticketWanted", requestId: "r" });
  const given = core.effects.find((effect) => effect.kind === "giveTicket");
  const ticket = given?.kind === "giveTicket" ? given.ticket : "";
  core.query("q1", { deadlineMs: 5_000, repeatable: false, ticket, sequence: 1 });
  const effects = core.send({ kind: "poolLost", poolId: "box-2/pool" });
  t.notOk(effects.some(({ kind }) => kind === "sendCall"));
  t.match(core.answersTo("q1"), [{ outcome: "unknown", notRun: false }]);
});

t.test("a query is not refused because of what pools reported long ago", async (t) => {
  const core = harness(1);
  const slow = { service: "wide", waitMs: 0, serviceTimeMs: 3_000, available: true };
  const reports = ["leaf-0", "leaf-1"].map((leafId) => ({ ...slow, leafId }));
  core.send({ kind: "resultsArrived", poolId: "box-2/pool", results: [], reports });
  core.query("q1", { deadlineMs: 2_000 });
  t.match(core.answersTo("q1"), [{ outcome: "refused", notRun: true }]);
  core.nowMs += 2_001;
  t.equal(core.query("q2", { deadlineMs: 2_000 }).length, 1, "the leafs may have recovered");
});
