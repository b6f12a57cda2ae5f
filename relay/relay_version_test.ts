// Guards against relayed first calls that are not counted towards the credit of the relaying box,
// which bounds the calls to a version by its own counts.

import type { ServerResponse } from "node:http";
import t from "tap";
import type { LeafCall, LeafCalls } from "../calls/mod.js";
import { INITIAL_LEAF_HEALTH } from "../leafs/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { MergedRelay } from "./_merged_relay.js";
import { SeparateRelay } from "./_separate_relay.js";

const FORWARDED = {
  ...{ requestId: "r", method: "GET", path: "/x", headers: [], body: undefined },
  topRecords: 5,
};

t.test("only a relayed first call counts as first and prefers a version", async (t) => {
  const leafs = ["v1", "v2"].map((version) => ({ ...SAMPLE_LEAF, leafId: version, version }));
  const sent: Array<LeafCall> = [];
  const calls = {
    health: () => INITIAL_LEAF_HEALTH,
    send: (call: LeafCall) => {
      sent.push(call);
      return { abandon: () => undefined, withdraw: () => undefined };
    },
  } as unknown as LeafCalls;
  const options = {
    ...{ nowMs: () => 0, eventLoopIdleMs: () => 0, calls, onParts: () => undefined },
    leafs: () => ({
      byId: new Map(leafs.map((leaf) => [leaf.leafId, leaf])),
      byService: new Map([["s", leafs]]),
      expiresAtMs: new Map(),
    }),
    distance: () => "zone" as const,
    access: {
      blockReasonForLeaf: () => undefined,
      isCold: () => false,
      preferredVersion: () => "v2",
    },
  };
  const response = { write: () => true, end: () => undefined } as unknown as ServerResponse;
  const terms = { ...FORWARDED, leftMs: 1_000 };
  const merged = new MergedRelay(
    { ...terms, kind: "merged", services: ["s"], waitLimitMs: 50 },
    response,
    options,
  );
  const separateCalls = [{ service: "s", leafId: "v1" }];
  const separate = new SeparateRelay(
    { ...terms, kind: "separate", calls: separateCalls, minRecord: undefined },
    response,
    options,
  );
  merged.start();
  separate.start();
  merged.stop();
  t.match(sent, [
    { leaf: { leafId: "v2" }, isFirst: true },
    { leaf: { leafId: "v1" }, isFirst: false },
  ]);
});
