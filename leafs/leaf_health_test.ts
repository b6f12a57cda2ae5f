import t from "tap";
import {
  type CallEnd,
  expectedFailureRate,
  INITIAL_LEAF_HEALTH,
  type LeafHealth,
  recordCallEnd,
  recordCallSent,
} from "./leaf_health.js";

/** Sends calls one after another; each ends with the given result. */
function healthAfter(results: ReadonlyArray<CallEnd["result"]>): LeafHealth {
  return results.reduce((health, result, callId) => {
    const sent = recordCallSent(health, { callId, eventLoopIdleMs: callId });
    return recordCallEnd(sent, { callId, nowMs: callId, eventLoopIdleMs: callId, result });
  }, INITIAL_LEAF_HEALTH);
}

t.test("a leaf's latency excludes stalls of the box itself", async (t) => {
  const sent = recordCallSent(INITIAL_LEAF_HEALTH, { callId: 1, eventLoopIdleMs: 100 });
  const ended = recordCallEnd(sent, {
    callId: 1,
    nowMs: 500,
    eventLoopIdleMs: 130,
    result: "answered",
  });
  t.equal(ended.meanMs, 30);
});

t.test("expectedFailureRate() follows the fraction of failed calls", async (t) => {
  const every = (count: number) => {
    return Array.from({ length: 60 }, (_, index) => (index % count === 0 ? "full" : "answered"));
  };
  const half = expectedFailureRate(healthAfter(every(2) as ReadonlyArray<CallEnd["result"]>), 60);
  t.ok(half > 0.35 && half < 0.65, `half: ${half}`);
  const few = expectedFailureRate(healthAfter(every(10) as ReadonlyArray<CallEnd["result"]>), 60);
  t.ok(few < 0.2, `one in ten: ${few}`);
  t.equal(expectedFailureRate(healthAfter(["answered", "answered"]), 2), 0);
});

t.test("expectedFailureRate() decays, so that a leaf is tried again", async (t) => {
  const failing = healthAfter(["failed", "failed", "failed"]);
  const immediately = expectedFailureRate(failing, 3);
  t.ok(expectedFailureRate(failing, 1_500) < immediately);
  t.equal(expectedFailureRate(failing, 10_000), 0);
});
