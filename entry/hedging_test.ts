// Guards against an unresponsive pool that is bypassed only when a hedge is due: late, where calls of
// the service usually take long.
import t from "tap";
import { CoreHarness, testConfig, testMember, testShardMap } from "./_core_harness.js";
import type { LeafCall } from "./entry_messages.js";

const LEAFS = 4;

/** Latency of the calls so far, from which hedges are delayed, in milliseconds. */
const LATENCY_MS = 2_000;

/** Time after which a silent pool is bypassed, in milliseconds. */
const UNRESPONSIVE_AFTER_MS = 100;

function answer(core: CoreHarness, { callId, shard, snapshot }: LeafCall): void {
  core.deliver({ kind: "answered", callId, snapshot, shard, rowCount: 0, rowsJson: "[]" });
}

/** Delivers an exchange with a pool, without which the entry would count as isolated. */
function exchangeWith(core: CoreHarness, poolId: string): void {
  core.send({
    kind: "exchangeArrived",
    requestId: 2,
    exchange: {
      ...{ self: testMember(poolId), members: [], revisions: [], confirmedAgoMs: 0 },
      ...{ catalogHash: core.state.control.catalog.hash, joining: false },
    },
  });
}

/** Returns a core with two pools that has observed slow calls. */
function slowServiceCore(): CoreHarness {
  const core = new CoreHarness({ config: testConfig(LEAFS), shardMap: testShardMap(1, LEAFS) });
  for (let index = 0; index < 30; index++) {
    exchangeWith(core, "box-2/pool");
    const [call] = core.query(`slow-${index}`, { deadlineMs: 10_000 });
    core.nowMs += LATENCY_MS;
    answer(core, call as LeafCall);
  }
  exchangeWith(core, "box-2/pool");
  exchangeWith(core, "box-3/pool");
  core.send({ kind: "poolOpened", poolId: "box-3/pool" });
  core.effects.length = 0;
  return core;
}

/** Returns the pools to which calls were sent, and the delay of the last check. */
function sentBy(core: CoreHarness) {
  const poolIds = core.effects.flatMap((effect) => {
    return effect.kind === "sendCall" ? [effect.poolId] : [];
  });
  const timers = core.effects.flatMap((effect) => {
    return effect.kind === "setTimer" && effect.timer.kind === "hedge"
      ? [{ id: effect.timer.id, delayMs: effect.delayMs }]
      : [];
  });
  return { poolIds, check: timers.at(-1) };
}

t.test("a silent pool is bypassed at once, however late a hedge would be", async (t) => {
  const core = slowServiceCore();
  core.query("q", { deadlineMs: 10_000 });
  const { check } = sentBy(core);
  t.equal(check?.delayMs, UNRESPONSIVE_AFTER_MS);
  core.nowMs += UNRESPONSIVE_AFTER_MS;
  core.send({ kind: "hedge", id: check?.id ?? "" });
  const [first, second] = sentBy(core).poolIds;
  t.ok(second !== undefined && second !== first, `sent to ${first}, then to ${second}`);
});

t.test("a pool that responds is neither bypassed nor hedged before a hedge is due", async (t) => {
  const core = slowServiceCore();
  core.query("q", { deadlineMs: 10_000 });
  const { check, poolIds } = sentBy(core);
  const startedAtMs = core.nowMs;
  while (sentBy(core).poolIds.length === 1 && core.nowMs - startedAtMs < 2 * LATENCY_MS) {
    core.nowMs += sentBy(core).check?.delayMs ?? 1;
    const poolId = poolIds[0] ?? "";
    core.send({ kind: "resultsArrived", poolId, results: [], reports: [] });
    core.send({ kind: "hedge", id: check?.id ?? "" });
  }
  const sentAfterMs = core.nowMs - startedAtMs;
  t.equal(sentBy(core).poolIds.length, 2, "it is hedged");
  t.ok(sentAfterMs > LATENCY_MS / 2, `after ${sentAfterMs} ms`);
});
