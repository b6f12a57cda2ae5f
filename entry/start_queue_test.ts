// Guards against queries that are refused or held back because of the queue of another service.
import t from "tap";
import type { QueryRequest } from "../model/mod.js";
import { CoreHarness, testConfig, testObject, testShardMap } from "./_core_harness.js";
import type { CallResult, LeafCall } from "./entry_messages.js";

const LEAFS = 2;
const SHARDS = 2;

/** Number of queries of the busy service, more than its leafs' slots allow to be started. */
const BUSY_QUERIES = 40;

function answered({ callId, snapshot, shard }: LeafCall): CallResult {
  return { kind: "answered", callId, snapshot, shard, rowCount: 0, rowsJson: "[]" };
}

/** Creates an entry with a second service, "idle", whose queries take 100 ms. */
function setUp(): CoreHarness {
  const config = testConfig(LEAFS);
  const core = new CoreHarness({ config, shardMap: testShardMap(SHARDS, LEAFS) });
  const objects = [
    testObject("service", "idle", testConfig(LEAFS, { service: "idle" })),
    testObject("shardmap", "idle", { ...testShardMap(SHARDS, LEAFS), service: "idle" }),
  ];
  core.send({ kind: "objectsFetched", objects });
  const calls = core.query("first", { service: "idle" });
  core.nowMs += 100;
  for (const call of calls) {
    core.deliver(answered(call));
  }
  return core;
}

function sendBusyQueries(core: CoreHarness, fields: Partial<QueryRequest> = {}): void {
  for (let index = 0; index < BUSY_QUERIES; index++) {
    core.query(`busy-${index}`, { deadlineMs: 60_000, ...fields });
  }
}

t.test("a query is not refused because queries of another service are queued", async (t) => {
  const core = setUp();
  sendBusyQueries(core);
  t.ok(core.state.waitingIds.length > 10, "the other service has a queue");
  core.query("q", { service: "idle", deadlineMs: 500 });
  t.same(core.answersTo("q"), []);
});

t.test("a query is started at once if only other services have a queue", async (t) => {
  const core = setUp();
  sendBusyQueries(core);
  const calls = core.query("q", { service: "idle", deadlineMs: 5_000 });
  t.equal(calls.length, SHARDS);
});

t.test("a queued query is not refused because of queries of another service", async (t) => {
  const core = setUp();
  // Enough queries for the service to have a queue of its own.
  for (let index = 0; index < 8; index++) {
    core.query(`idle-${index}`, { service: "idle", deadlineMs: 500 });
  }
  // Their deadlines are earlier, so that they are queued ahead.
  sendBusyQueries(core, { deadlineMs: 400 });
  const isQueued = core.state.waitingIds.includes("idle-7");
  t.ok(isQueued, "the last one is queued");
  core.send({ kind: "startNext" });
  t.same(core.answersTo("idle-7"), []);
});

t.test("the wait of a query is predicted by the shards of the current snapshot", async (t) => {
  const core = setUp();
  const [current] = testShardMap(SHARDS, LEAFS).snapshots;
  const [earlier] = testShardMap(50, LEAFS).snapshots;
  const snapshots = [
    { ...earlier, snapshot: "v0" },
    { ...current, snapshot: "v1" },
  ];
  const value = { service: "idle", currentSnapshot: "v1", snapshots };
  const object = { ...testObject("shardmap", "idle", value), revision: 2 };
  core.send({ kind: "objectsFetched", objects: [object] });
  for (let index = 0; index < 12; index++) {
    core.query(`idle-${index}`, { service: "idle", deadlineMs: 60_000 });
  }
  t.ok(core.state.waitingIds.length > 0, "the service has a queue");
  core.query("q", { service: "idle", deadlineMs: 500 });
  t.same(core.answersTo("q"), []);
});
