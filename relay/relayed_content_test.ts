// Guards against leafs that receive another request through a box than they would directly, and
// against a box that does not recognize a crash-inducing query when it relays it.
import t from "tap";
import { requestFingerprint } from "../quarantine/mod.js";
import type { AllowedRegions } from "../routing/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { MergedRelay } from "./_merged_relay.js";
import { makeRelayHarness, RESPONSE } from "./_relay_harness.js";
import { SeparateRelay } from "./_separate_relay.js";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const CONTENT = {
  ...{ requestId: "r", method: "POST", path: "/x?y" },
  ...{ headers: ["Host", "h", "Content-Type", "a/b"], body: Buffer.from([0, 255]) },
};
const ONLY_NORTH: AllowedRegions = { kind: "only", regions: ["north"] };
const TERMS = { allowedRegions: ONLY_NORTH, topRecords: 5, leftMs: 1_000 };
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
  const { options, sent } = makeRelayHarness([SAMPLE_LEAF]);
  const merged = new MergedRelay(decoded(MERGED), RESPONSE, options);
  merged.start();
  new SeparateRelay(decoded(SEPARATE), RESPONSE, options).start();
  merged.stop();
  const fingerprint = requestFingerprint({ ...CONTENT, caller: "h" });
  const key = { host: "h", path: "/x?y" };
  const acceptedRoute = { key, allowedRegions: TERMS.allowedRegions };
  t.equal(sent.length, 2);
  for (const call of sent) {
    t.match(call, { ...CONTENT, fingerprint, acceptedRoute });
  }
});
