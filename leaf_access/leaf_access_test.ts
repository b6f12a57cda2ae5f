import fc from "fast-check";
import t from "tap";
import type { Leaf } from "../leafs/mod.js";
import {
  type AcceptedRoute,
  acceptRoute,
  buildRouteTable,
  type Route,
  type RouteTable,
} from "../routing/mod.js";
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
const UNRESTRICTED = acceptedIn([]);

function acceptedIn(homes: ReadonlyArray<string>): AcceptedRoute {
  return acceptRoute(ROUTE_KEY, { homes });
}

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
  const accepted = acceptedIn(["north"]);
  t.equal(access.blockReasonForLeaf(leafIn("north 2"), accepted), undefined);
  t.same(access.blockReasonForLeaf(leafIn("south 1"), accepted), {
    kind: "region",
    region: "south",
    allowedRegions: { kind: "only", regions: ["north"] },
  });
});

t.test(
  "blockReasonForLeaf() applies the allowed regions of the current configuration",
  async (t) => {
    let routes = tableOf(["north"]);
    const access = accessWith({ routes: () => routes });
    t.equal(access.blockReasonForLeaf(leafIn("south 1"), acceptedIn(["north"]))?.kind, "region");
    routes = tableOf(["south"], 2);
    t.equal(access.blockReasonForLeaf(leafIn("south 1"), acceptedIn(["south"])), undefined);
    t.equal(access.blockReasonForLeaf(leafIn("north 1"), acceptedIn(["south"]))?.kind, "region");
    t.equal(access.blockReasonForLeaf(leafIn("south 1"), UNRESTRICTED), undefined);
    t.equal(access.blockReasonForLeaf(leafIn("north 1"), UNRESTRICTED)?.kind, "region");
  },
);

const REGIONS = ["north", "south", "wests"];
const HOMES = fc.subarray(REGIONS);
/** Later configurations: none yet, without a route, with another one, with other regions. */
const TABLES = fc.oneof(
  fc.constant(undefined),
  HOMES.map((homes) => tableOf(homes)),
  fc.constant({ ...tableOf([]), routesByHost: new Map() }),
  HOMES.map((homes) => ({
    ...tableOf([]),
    routesByHost: new Map([["h", [{ ...ROUTE, name: "shorter", prefix: "/", homes }]]]),
  })),
);

t.test("the leafs that a running request may reach never grow", async (t) => {
  fc.assert(
    fc.property(HOMES, fc.array(TABLES, { minLength: 1 }), (homes, tables) => {
      let routes: RouteTable | undefined;
      const access = accessWith({ routes: () => routes });
      const accepted = acceptedIn(homes);
      const allowed = homes.length === 0 ? REGIONS : homes;
      return tables.every((table) => {
        routes = table;
        return REGIONS.every((region) => {
          const isBlocked = access.blockReasonForLeaf(leafIn(region), accepted) !== undefined;
          return isBlocked || allowed.includes(region);
        });
      });
    }),
    { numRuns: 500, seed: 66 },
  );
  t.pass("no configuration allowed more than the one it was accepted under");
});

t.test("blockReasonForLeaf() blocks leafs of an evacuated data centre", async (t) => {
  const evacuated = new Set(["north 1"]);
  const access = accessWith({ evacuated: () => evacuated });
  t.same(access.blockReasonForLeaf(leafIn("north 1"), UNRESTRICTED), {
    kind: "evacuated",
    dataCentre: "north 1",
  });
  t.equal(access.blockReasonForLeaf(leafIn("north 2"), UNRESTRICTED), undefined);
  evacuated.delete("north 1");
  t.equal(access.blockReasonForLeaf(leafIn("north 1"), UNRESTRICTED), undefined);
});

t.test(
  "blockReasonForCall() blocks every call of a quarantined query but its trial call",
  async (t) => {
    const access = accessWith({ quarantine: { permission: () => "deferred" } });
    const call = {
      leaf: leafIn("north 1"),
      acceptedRoute: UNRESTRICTED,
      fingerprint: "q",
      isTrial: false,
    };
    t.same(access.blockReasonForCall(call), { kind: "quarantined", fingerprint: "q" });
    t.equal(access.blockReasonForCall({ ...call, isTrial: true }), undefined);
  },
);

t.test("blockReasonForCall() blocks a trial call too if its leaf may not be called", async (t) => {
  const access = accessWith({ evacuated: () => new Set(["north 1"]) });
  const call = {
    leaf: leafIn("north 1"),
    acceptedRoute: UNRESTRICTED,
    fingerprint: "q",
    isTrial: true,
  };
  t.equal(access.blockReasonForCall(call)?.kind, "evacuated");
});
