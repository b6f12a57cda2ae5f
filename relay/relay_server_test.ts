// Guards against calls to leafs that a box begins for others right before its exit, which cuts them.
import { createServer } from "node:http";
import t from "tap";
import { ANY_REGION } from "../routing/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { sampleMember } from "../standins/sample_member.js";
import { makeRelayHarness } from "./_relay_harness.js";
import { RelayCalls } from "./relay_calls.js";
import { handleRelayRequest } from "./relay_server.js";
import { TransitDelays } from "./transit_delays.js";

const LOOPBACK = "127.0.0.1";

const FORWARDED = {
  ...{ requestId: "r", method: "GET", path: "/x", headers: [], body: undefined },
  ...{ allowedRegions: ANY_REGION, topRecords: 5, leftMs: 2_000 },
};

const REQUESTS = [
  { ...FORWARDED, kind: "merged", services: ["s"], waitLimitMs: 50 },
  {
    ...FORWARDED,
    kind: "separate",
    calls: [{ service: "s", leafId: SAMPLE_LEAF.leafId }],
    minRecord: undefined,
  },
] as const;

for (const request of REQUESTS) {
  t.test(`a box that is about to exit declines a ${request.kind} relay request`, async (t) => {
    const { options, sent } = makeRelayHarness([SAMPLE_LEAF]);
    const serverOptions = { delays: new TransitDelays(), onReceived: () => undefined };
    const server = createServer((received, response) => {
      const declining = { ...options, ...serverOptions, isDeclining: () => true };
      handleRelayRequest(received, response, declining);
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => server.close());
    t.teardown(() => server.closeAllConnections());
    const bound = server.address();
    const peerPort = typeof bound === "object" && bound !== null ? bound.port : 0;
    const relays = new RelayCalls({ nowMs: () => 0, eventLoopIdleMs: () => 0 });
    t.teardown(() => relays.abortOverdue());
    const failed = await new Promise<ReadonlyArray<unknown>>((resolve) => {
      let reasons: ReadonlyArray<unknown> = [];
      relays.send(sampleMember({ peerPort }), request, {
        onParts: (parts) => {
          reasons = [...parts.failed];
        },
        onEnd: () => resolve(reasons),
      });
    });
    t.same(failed, [["s", "declined"]]);
    t.same(sent, [], "no leaf is called");
  });
}
