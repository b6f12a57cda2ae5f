import t from "tap";
import {
  type CallEnd,
  expectedFailureRate,
  INITIAL_LEAF_HEALTH,
  type LeafHealth,
  recordCallEnd,
  recordCallSent,
} from "./leaf_health.js";

/** Sends calls one after the other, each of which ends as told. */
function afterCalls(results: ReadonlyArray<CallEnd["result"]>): LeafHealth {
  return results.reduce((condition, result, callId) => {
    const sent = recordCallSent(condition, { callId, waitedMs: callId });
    return recordCallEnd(sent, { callId, nowMs: callId, eventLoopIdleMs: callId, result });
  }, INITIAL_LEAF_HEALTH);
}

t.test("a leaf's time leaves out what the box itself was busy", async (t) => {
  const sent = recordCallSent(INITIAL_LEAF_HEALTH, { callId: 1, waitedMs: 100 });
  const ended = recordCallEnd(sent, {
    callId: 1,
    nowMs: 500,
    eventLoopIdleMs: 130,
    result: "answered",
  });
  t.equal(ended.meanMs, 30);
});

t.test("expectedLoss() follows the share of calls that come to nothing", async (t) => {
  const every = (count: number) => {
    return Array.from({ length: 60 }, (_, index) => (index % count === 0 ? "full" : "answered"));
  };
  const half = expectedFailureRate(afterCalls(every(2) as ReadonlyArray<CallEnd["result"]>), 60);
  t.ok(half > 0.35 && half < 0.65, `half: ${half}`);
  const few = expectedFailureRate(afterCalls(every(10) as ReadonlyArray<CallEnd["result"]>), 60);
  t.ok(few < 0.2, `one in ten: ${few}`);
  t.equal(expectedFailureRate(afterCalls(["answered", "answered"]), 2), 0);
});

t.test("expectedLoss() fades, so that a leaf is tried again", async (t) => {
  const failing = afterCalls(["failed", "failed", "failed"]);
  const atOnce = expectedFailureRate(failing, 3);
  t.ok(expectedFailureRate(failing, 1_500) < atOnce);
  t.equal(expectedFailureRate(failing, 10_000), 0);
});
