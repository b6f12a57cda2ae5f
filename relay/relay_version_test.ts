// Guards against relayed first calls that are not counted towards the credit of the relaying box,
// which bounds the calls to a version by its own counts.

import t from "tap";
import { ANY_REGION } from "../routing/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { MergedRelay } from "./_merged_relay.js";
import { makeRelayHarness, RESPONSE } from "./_relay_harness.js";
import { SeparateRelay } from "./_separate_relay.js";

const FORWARDED = {
  ...{ requestId: "r", method: "GET", path: "/x", headers: [], body: undefined },
  allowedRegions: ANY_REGION,
  topRecords: 5,
};

t.test("only a relayed first call counts as first and prefers a version", async (t) => {
  const leafs = ["v1", "v2"].map((version) => ({ ...SAMPLE_LEAF, leafId: version, version }));
  const { options, sent } = makeRelayHarness(leafs, { preferredVersion: () => "v2" });
  const terms = { ...FORWARDED, leftMs: 1_000 };
  const merged = new MergedRelay(
    { ...terms, kind: "merged", services: ["s"], waitLimitMs: 50 },
    RESPONSE,
    options,
  );
  const separateCalls = [{ service: "s", leafId: "v1" }];
  const separate = new SeparateRelay(
    { ...terms, kind: "separate", calls: separateCalls, minRecord: undefined },
    RESPONSE,
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
