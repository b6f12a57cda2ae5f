// Guards against leafs that receive another request through a box than they would directly, and
// against a box that does not recognize a crash-inducing query when it relays it.
import type { ServerResponse } from "node:http";
import t from "tap";
import type { LeafCall, LeafCalls } from "../calls/mod.js";
import { INITIAL_LEAF_HEALTH } from "../leafs/mod.js";
import { requestFingerprint } from "../quarantine/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { MergedRelay } from "./_merged_relay.js";
import { SeparateRelay } from "./_separate_relay.js";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const CONTENT = {
  ...{ requestId: "r", method: "POST", path: "/x?y" },
  ...{ headers: ["Host", "h", "Content-Type", "a/b"], body: Buffer.from([0, 255]) },
};
const TERMS = { topRecords: 5, leftMs: 1_000 };
const MERGED = { ...CONTENT, ...TERMS, kind: "merged", services: ["s"], waitLimitMs: 50 } as const;
const SEPARATE = {
  ...{ ...CONTENT, ...TERMS, kind: "separate" as const, minRecord: undefined },
  calls: [{ service: "s", leafId: SAMPLE_LEAF.leafId }],
} as const;

/** Sends a request through its encoding. */
function decoded<R extends RelayRequest>(request: R): R {
  return decodeRelayRequest(encodeRelayRequest(request)) as R;
}

t.test("leafs receive the content of a relayed request unchanged", async (t) => {
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
      byId: new Map([[SAMPLE_LEAF.leafId, SAMPLE_LEAF]]),
      byService: new Map([["s", [SAMPLE_LEAF]]]),
      expiresAtMs: new Map(),
    }),
    distance: () => "zone" as const,
    access: { blockReasonForLeaf: () => undefined, isCold: () => false },
  };
  const response = { write: () => true, end: () => undefined } as unknown as ServerResponse;
  const merged = new MergedRelay(decoded(MERGED), response, options);
  merged.start();
  new SeparateRelay(decoded(SEPARATE), response, options).start();
  merged.stop();
  const fingerprint = requestFingerprint({ ...CONTENT, caller: "h" });
  t.equal(sent.length, 2);
  for (const call of sent) {
    t.match(call, { ...CONTENT, fingerprint, routeKey: { host: "h", path: "/x?y" } });
  }
});
