import t from "tap";
import type { Leaf } from "../leafs/mod.js";
import { buildRouteTable, type Route, type RouteTable } from "../routing/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { LeafAccess, type LeafAccessOptions } from "./leaf_access.js";

const ROUTE: Route = {
  name: "r",
  host: "h",
  prefix: "/a/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 100,
  priorityRank: 0,
  maxAttempts: 2,
  homes: [],
  target: { kind: "single", services: [{ service: "s", weight: 1 }] },
};
const ROUTE_KEY = { host: "h", path: "/a/x" };

function tableOf(allowedRegions: ReadonlyArray<string>, version = 1): RouteTable {
  return buildRouteTable({
    version,
    routes: [{ ...ROUTE, homes: allowedRegions }],
    services: [],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
}

function leafIn(dataCentre: string): Leaf {
  return { ...SAMPLE_LEAF, leafId: `leaf in ${dataCentre}`, dataCentre };
}

function accessWith(options: Partial<LeafAccessOptions>): LeafAccess {
  return new LeafAccess({
    routes: () => tableOf([]),
    regionOf: (dataCentre) => dataCentre.slice(0, "north".length),
    evacuated: () => new Set(),
    coldLeafs: { isCold: () => false, mayCall: () => true, recordCallSent: () => undefined },
    quarantine: { permission: () => "unrestricted" },
    ...options,
  });
}

t.test("blockReasonForLeaf() blocks leafs outside the allowed regions", async (t) => {
  const access = accessWith({ routes: () => tableOf(["north"]) });
  t.equal(access.blockReasonForLeaf(leafIn("north 2"), ROUTE_KEY), undefined);
  t.same(access.blockReasonForLeaf(leafIn("south 1"), ROUTE_KEY), {
    kind: "region",
    region: "south",
    allowedRegions: ["north"],
  });
});

t.test(
  "blockReasonForLeaf() applies the allowed regions of the current configuration",
  async (t) => {
    let routes = tableOf(["north"]);
    const access = accessWith({ routes: () => routes });
    t.equal(access.blockReasonForLeaf(leafIn("south 1"), ROUTE_KEY)?.kind, "region");
    routes = tableOf(["south"], 2);
    t.equal(access.blockReasonForLeaf(leafIn("south 1"), ROUTE_KEY), undefined);
    t.equal(access.blockReasonForLeaf(leafIn("north 1"), ROUTE_KEY)?.kind, "region");
  },
);

t.test("blockReasonForLeaf() blocks leafs of an evacuated data centre", async (t) => {
  const evacuated = new Set(["north 1"]);
  const access = accessWith({ evacuated: () => evacuated });
  t.same(access.blockReasonForLeaf(leafIn("north 1"), ROUTE_KEY), {
    kind: "evacuated",
    dataCentre: "north 1",
  });
  t.equal(access.blockReasonForLeaf(leafIn("north 2"), ROUTE_KEY), undefined);
  evacuated.delete("north 1");
  t.equal(access.blockReasonForLeaf(leafIn("north 1"), ROUTE_KEY), undefined);
});

t.test(
  "blockReasonForCall() blocks every call of a quarantined query but its trial call",
  async (t) => {
    const access = accessWith({ quarantine: { permission: () => "deferred" } });
    const call = { leaf: leafIn("north 1"), routeKey: ROUTE_KEY, fingerprint: "q", isTrial: false };
    t.same(access.blockReasonForCall(call), { kind: "quarantined", fingerprint: "q" });
    t.equal(access.blockReasonForCall({ ...call, isTrial: true }), undefined);
  },
);

t.test("blockReasonForCall() blocks a trial call too if its leaf may not be called", async (t) => {
  const access = accessWith({ evacuated: () => new Set(["north 1"]) });
  const call = { leaf: leafIn("north 1"), routeKey: ROUTE_KEY, fingerprint: "q", isTrial: true };
  t.equal(access.blockReasonForCall(call)?.kind, "evacuated");
});
