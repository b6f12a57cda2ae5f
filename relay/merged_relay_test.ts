import { stat } from "node:fs";
import type { ServerResponse } from "node:http";
import t from "tap";
import type { LeafCalls } from "../calls/mod.js";
import { INITIAL_LEAF_HEALTH, type Leaf, type LeafHealth } from "../leafs/mod.js";
import type { AttemptOutcome, RelayedParts } from "../request/mod.js";
import { ANY_REGION } from "../routing/mod.js";
import { waitUntil } from "../standins/waiting.js";
import { MergedRelay } from "./_merged_relay.js";
import { RelayFrameReader } from "./relay_frames.js";
import type { MergedRelayRequest } from "./relay_request.js";

const SERVICES = ["s1", "s2"];

const REQUEST: MergedRelayRequest = {
  ...{ kind: "merged", requestId: "r", method: "GET", path: "/x", headers: [] },
  allowedRegions: ANY_REGION,
  ...{ body: undefined, topRecords: 5, leftMs: 1_000, services: SERVICES, waitLimitMs: 50 },
};

function leafOf(service: string): Leaf {
  return {
    ...{ leafId: `${service}-a`, service, address: "10.0.0.1", port: 1, dataCentre: "here" },
    ...{
      slots: 2,
      draining: false,
      warmingForMs: 0,
      bornAtEpochMs: 1,
      entryRevision: 1,
      sequence: 1,
    },
  };
}

/** Runs a request against leafs with the given health; the test ends the calls. */
function startRelay(health: Partial<LeafHealth>) {
  const ends = new Map<string, (outcome: AttemptOutcome) => void>();
  const sent: Array<RelayedParts> = [];
  const reader = new RelayFrameReader(SERVICES);
  const response = {
    destroyed: false,
    write: (bytes: Buffer) => sent.push(...reader.read(bytes)),
    end: () => undefined,
  } as unknown as ServerResponse;
  const calls = {
    health: () => ({ ...INITIAL_LEAF_HEALTH, ...health }),
    send: ({ leaf }: { readonly leaf: Leaf }, onEnd: (outcome: AttemptOutcome) => void) => {
      ends.set(leaf.service, onEnd);
      return { abandon: () => undefined, withdraw: () => undefined };
    },
  } as unknown as LeafCalls;
  const leafs = SERVICES.map(leafOf);
  const relay = new MergedRelay(REQUEST, response, {
    ...{ nowMs: () => 0, eventLoopIdleMs: () => 0, calls, onParts: () => undefined },
    leafs: () => ({
      byId: new Map(leafs.map((leaf) => [leaf.leafId, leaf])),
      byService: new Map(leafs.map((leaf) => [leaf.service, [leaf]])),
      expiresAtMs: new Map(),
    }),
    distance: () => "zone",
    access: { blockReasonForLeaf: () => undefined, isCold: () => false },
  });
  relay.start();
  t.teardown(() => relay.stop());
  return { ends, sent };
}

t.test("refusals and failures are reported immediately, before the wait limit", async (t) => {
  const { ends, sent } = startRelay({});
  ends.get("s1")?.({ kind: "refused", reason: "full" });
  t.same(sent.at(-1)?.failed, new Map([["s1", "refused"]]));
  ends.get("s2")?.({ kind: "failed", sent: true, reason: "reset" });
  t.same(sent.at(-1)?.failed, new Map([["s2", "failed"]]));
});

/** More open calls than the leaf has slots. */
const OPEN_CALLS = Array.from({ length: 5 }, (_, callId) => ({ callId, sentAtIdleMs: 0 }));

t.test("a full leaf is called while its queueing delay is short", async (t) => {
  const short = startRelay({ openCalls: OPEN_CALLS, workMs: 20 });
  t.same([...short.ends.keys()], SERVICES);
  const long = startRelay({ openCalls: OPEN_CALLS, workMs: 80 });
  t.same([...long.ends.keys()], []);
  t.same([...(long.sent[0]?.failed.values() ?? [])], ["declined", "declined"]);
});

/** Blocks this process until a time has passed, as a suspension does. */
function stall(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs) {
    // Nothing can be read meanwhile.
  }
}

t.test("parts that arrived while the box was stalled are sent together", async (t) => {
  const { ends, sent } = startRelay({ meanMs: 5 });
  const answer = { statusCode: 200, headers: {}, signature: "x", body: Buffer.alloc(16) };
  // Its result is available after the stall, as input from a leaf would be.
  stat(".", () => ends.get("s1")?.({ kind: "answered", answer }));
  stall(100);
  await waitUntil(async () => sent.length > 0, "a frame has been sent");
  t.same([...(sent[0]?.signatures.keys() ?? [])], ["s1"], "the first frame has the part");
});
