import t from "tap";
import { testConfig, testMember, testObject } from "../entry/_core_harness.js";
import type { LeafCall } from "../entry/entry_messages.js";
import { stepPool } from "./pool_core.js";
import type { Dispatch, LeafOutcome, PoolEffect, PoolEvent } from "./pool_messages.js";
import { newPoolState, type PoolState } from "./pool_state.js";

class PoolHarness {
  state: PoolState = newPoolState({ self: testMember("box-1/pool"), seeds: [] });
  nowMs = 1_000;

  constructor() {
    const objects = [testObject("service", "wide", testConfig(2))];
    this.send({ kind: "objectsFetched", nowMs: this.nowMs, objects });
    this.send({ kind: "entryOpened", nowMs: this.nowMs, entryId: "e" });
  }

  send(event: PoolEvent): ReadonlyArray<PoolEffect> {
    const result = stepPool(this.state, event);
    this.state = result.state;
    return result.effects;
  }

  call(callId: string, change: Partial<LeafCall> = {}): ReadonlyArray<PoolEffect> {
    const call: LeafCall = {
      callId,
      service: "wide",
      leafId: "leaf-0",
      snapshot: "v1",
      shard: "s0",
      remainingMs: 500,
      priorityRank: 2,
      repeatable: true,
      rights: "r",
      bodyJson: callId,
      ...change,
    };
    const { nowMs } = this;
    return this.send({
      kind: "callsArrived",
      nowMs,
      entryId: "e",
      calls: [call],
      cancelledCallIds: [],
    });
  }

  cancel(callId: string): ReadonlyArray<PoolEffect> {
    const cancelledCallIds = [callId];
    const { nowMs } = this;
    return this.send({ kind: "callsArrived", nowMs, entryId: "e", calls: [], cancelledCallIds });
  }

  finish(flightId: string, outcome: LeafOutcome, stalledMs = 0): ReadonlyArray<PoolEffect> {
    const { nowMs } = this;
    const signal = undefined;
    return this.send({ kind: "leafAnswered", nowMs, flightId, stalledMs, outcome, signal });
  }
}

const ROWS: LeafOutcome = {
  kind: "answered",
  snapshot: "v1",
  shard: "s0",
  rowCount: 0,
  rowsJson: "[]",
};

function dispatches(effects: ReadonlyArray<PoolEffect>): ReadonlyArray<Dispatch> {
  return effects.flatMap((effect) => (effect.kind === "dispatch" ? [effect.dispatch] : []));
}

function results(effects: ReadonlyArray<PoolEffect>) {
  return effects.flatMap((effect) => (effect.kind === "reply" ? effect.results : []));
}

t.test("the pool respects a leaf's slots and dispatches the most urgent call next", async (t) => {
  const pool = new PoolHarness();
  const first = dispatches(pool.call("a"));
  t.equal(first.length + dispatches(pool.call("b")).length, 2);
  t.equal(dispatches(pool.call("late", { priorityRank: 3 })).length, 0);
  t.equal(dispatches(pool.call("soon", { priorityRank: 0 })).length, 0);
  pool.nowMs += 5;
  const next = dispatches(pool.finish(first[0]?.flightId ?? "", ROWS));
  t.equal(next[0]?.bodyJson, "soon");
});

t.test("the pool sends identical calls with the same rights once", async (t) => {
  const pool = new PoolHarness();
  const [flight] = dispatches(pool.call("a", { bodyJson: "same" }));
  t.equal(dispatches(pool.call("b", { bodyJson: "same" })).length, 0);
  t.equal(dispatches(pool.call("c", { bodyJson: "same", rights: "other" })).length, 1);
  const callIds = results(pool.finish(flight?.flightId ?? "", ROWS)).map((result) => result.callId);
  t.same(callIds, ["a", "b"]);
});

t.test("the pool never shares a call that is not repeatable", async (t) => {
  const pool = new PoolHarness();
  const change = { bodyJson: "same", repeatable: false };
  t.equal(dispatches(pool.call("a", change)).length + dispatches(pool.call("b", change)).length, 2);
});

t.test("the pool refuses queued calls when their leaf starts draining", async (t) => {
  const pool = new PoolHarness();
  for (const callId of ["a", "b", "c"]) {
    pool.call(callId);
  }
  const leafKey = "wide leaf-0";
  const { nowMs } = pool;
  const effects = pool.send({ kind: "leafProbed", nowMs, leafKey, signal: "draining" });
  t.match(results(effects), [{ kind: "refused", callId: "c", reason: "leaving" }]);
  t.match(results(pool.call("d")), [{ kind: "refused", reason: "leaving" }]);
  pool.send({ kind: "leafProbed", nowMs: nowMs + 1_000, leafKey, signal: "ready" });
  t.match(results(pool.call("e")), [{ kind: "refused" }], "draining does not end early");
});

t.test("the pool sends no calls to a leaf on a leaving box", async (t) => {
  const pool = new PoolHarness();
  const boxes = [
    {
      box: "server-box-0",
      address: "127.0.0.1",
      dataCentre: "dc-1",
      leaving: true,
      entryPeerPort: 0,
      poolPeerPort: 0,
    },
  ];
  const objects = [testObject("boxlist", "boxes", { version: 1, boxes })];
  pool.send({ kind: "objectsFetched", nowMs: pool.nowMs, objects });
  t.match(results(pool.call("a")), [{ kind: "refused", reason: "leaving" }]);
});

t.test("the pool immediately refuses a call that would miss its deadline", async (t) => {
  const pool = new PoolHarness();
  const [flight] = dispatches(pool.call("a"));
  pool.nowMs += 100;
  pool.finish(flight?.flightId ?? "", ROWS);
  pool.call("b");
  pool.call("c");
  pool.call("d");
  t.match(results(pool.call("e", { remainingMs: 120 })), [
    { kind: "refused", reason: "overloaded" },
  ]);
});

t.test("the pool keeps the slot of a cancelled call until the leaf answers", async (t) => {
  const pool = new PoolHarness();
  const [flight] = dispatches(pool.call("a"));
  const effects = pool.cancel("a");
  t.match(effects, [{ kind: "cancelDispatch", flightId: flight?.flightId }, {}]);
  t.equal(pool.state.leafs.get("wide leaf-0")?.inFlight, 1);
  const outcome = { kind: "failed", reason: "leaf failed", notSent: false } as const;
  t.same(results(pool.finish(flight?.flightId ?? "", outcome)), []);
  t.equal(pool.state.leafs.get("wide leaf-0")?.inFlight, 0);
});

t.test("the pool starts a recovered leaf with one slot and adds one per answer", async (t) => {
  const pool = new PoolHarness();
  const leafKey = "wide leaf-0";
  pool.send({ kind: "leafProbed", nowMs: pool.nowMs, leafKey, signal: "cold" });
  pool.send({ kind: "leafProbed", nowMs: pool.nowMs + 10, leafKey, signal: "ready" });
  const [flight] = dispatches(pool.call("a"));
  t.equal(dispatches(pool.call("b")).length, 0);
  t.equal(dispatches(pool.finish(flight?.flightId ?? "", ROWS)).length, 1);
  t.equal(dispatches(pool.call("c")).length, 1);
});

t.test("the pool does not take its own stall for slowness of a leaf", async (t) => {
  const pool = new PoolHarness();
  const [flight] = dispatches(pool.call("a", { remainingMs: 20_000 }));
  pool.nowMs += 5_010;
  pool.finish(flight?.flightId ?? "", ROWS, 5_000);
  t.equal(dispatches(pool.call("b", { remainingMs: 500 })).length, 1);
  t.equal(pool.state.leafs.get("wide leaf-0")?.serviceTimeMs, 10);
});

t.test("the pool calls an idle leaf whose service time it has not seen for long", async (t) => {
  const pool = new PoolHarness();
  const [flight] = dispatches(pool.call("a", { remainingMs: 20_000 }));
  pool.nowMs += 5_000;
  pool.finish(flight?.flightId ?? "", ROWS);
  t.match(results(pool.call("b")), [{ kind: "refused", reason: "overloaded" }]);
  pool.nowMs += 2_001;
  const [second] = dispatches(pool.call("c"));
  t.ok(second !== undefined, "a leaf that was slow may have recovered");
  t.match(results(pool.call("d")), [{ reason: "overloaded" }], "one call at a time finds out");
  pool.nowMs += 5;
  pool.finish(second?.flightId ?? "", ROWS);
});

t.test("failed probes with a successful one in between do not take a leaf out", async (t) => {
  const pool = new PoolHarness();
  const leafKey = "wide leaf-0";
  function probe(signal: "ready" | undefined): string | undefined {
    pool.send({ kind: "leafProbed", nowMs: pool.nowMs, leafKey, signal });
    return pool.state.leafs.get(leafKey)?.condition;
  }
  t.equal(probe(undefined), "ready");
  t.equal(probe("ready"), "ready");
  t.equal(probe(undefined), "ready", "the first failure since the leaf answered");
  t.equal(probe(undefined), "down", "the second one in a row");
});

t.test("successful probes do not keep a leaf that fails its calls", async (t) => {
  const pool = new PoolHarness();
  const leafKey = "wide leaf-0";
  const outcome = { kind: "failed", reason: "leaf failed", notSent: false } as const;
  for (const callId of ["a", "b"]) {
    const [flight] = dispatches(pool.call(callId));
    pool.finish(flight?.flightId ?? "", outcome);
    pool.send({ kind: "leafProbed", nowMs: pool.nowMs, leafKey, signal: "ready" });
  }
  t.equal(pool.state.leafs.get(leafKey)?.condition, "down");
});
