// Guards against a pool that stops its keepalive messages while calls are open, so that entries take it
// for unresponsive and send the calls a second time.
import t from "tap";
import type { LeafCall } from "../entry/entry_messages.js";
import type { CallBatch } from "../peer/gen/rackvale/peer/v1/peer_pb.js";
import { encodeCalls, PushQueue, peerClient } from "../peer/mod.js";
import { delay, Fleet, LOOPBACK, SAMPLE_SHAPES } from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

/** Duration of the open call, in milliseconds. */
const CALL_MS = 1_000;

/** Longest interval between messages for which entries wait for a pool, in milliseconds. */
const MAX_SILENCE_MS = 100;

t.test("a pool stays audible after calls that were cancelled too late", async (t) => {
  const fleet = await Fleet.start({
    boxes: 1,
    dataCentres: ["here"],
    seed: 5,
    adviceKeepMs: 500,
    logLevel: "warn",
  });
  t.teardown(() => fleet.stop());
  const { shardMap } = await fleet.addService(SHAPE);
  const [shard] = shardMap.snapshots[0]?.shards ?? [];
  const call: LeafCall = {
    callId: "f0.0",
    service: "settle-desk",
    leafId: shard?.leafIds[0] ?? "",
    snapshot: shardMap.currentSnapshot,
    shard: shard?.shard ?? "",
    remainingMs: 5_000,
    priorityRank: 2,
    repeatable: true,
    rights: "",
    bodyJson: "{}",
  };
  const client = peerClient({
    address: LOOPBACK,
    peerPort: fleet.boxes[0]?.pool.ports.peerPort ?? 0,
  });
  t.teardown(() => client.close());
  const calls = new PushQueue<CallBatch>();
  const answeredIds: Array<string> = [];
  const receivedAtMs: Array<number> = [];
  const reading = (async () => {
    for await (const { results } of client.rpc.calls(calls)) {
      receivedAtMs.push(performance.now());
      answeredIds.push(...results.map(({ callId }) => callId));
    }
  })().catch(() => undefined);
  calls.push(encodeCalls("test", [], { cancelledCallIds: [] }));
  for (let index = 0; index < 5; index++) {
    const callId = `f${index}.0`;
    calls.push(
      encodeCalls("", [{ ...call, callId, bodyJson: `{"mark":${index}}` }], {
        cancelledCallIds: [],
      }),
    );
    while (!answeredIds.includes(callId)) {
      await delay(5);
    }
    // The result was under way when the entry cancelled the call.
    calls.push(encodeCalls("", [], { cancelledCallIds: [callId] }));
  }
  await fleet.changeLeafs("settle-desk", { serviceTimeMs: CALL_MS });
  const startedAtMs = performance.now();
  calls.push(encodeCalls("", [{ ...call, callId: "f9.0" }], { cancelledCallIds: [] }));
  while (!answeredIds.includes("f9.0")) {
    await delay(5);
  }
  calls.end();
  await reading;
  const messageCount = receivedAtMs.filter((atMs) => atMs > startedAtMs).length;
  t.ok(
    messageCount >= CALL_MS / MAX_SILENCE_MS,
    `${messageCount} messages during a call of ${CALL_MS} ms`,
  );
});
