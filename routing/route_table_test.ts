import t from "tap";
import type { Route } from "./configuration.js";
import { buildRouteTable, findRoute } from "./route_table.js";

function route(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    repeatable: true,
    timeoutMs: 1,
    aimMs: 1,
    priorityRank: 0,
    maxAttempts: 1,
    homes: [],
    target: { kind: "single", services: [{ service: "s", weight: 1 }] },
  };
}

const TABLE = buildRouteTable({
  version: 1,
  routes: [route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/")],
  services: [],
  callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

t.test("findRoute() picks the longest prefix of the host", async (t) => {
  t.equal(findRoute(TABLE, { host: "h.example", path: "/a/b/c" })?.name, "long");
  t.equal(findRoute(TABLE, { host: "h.example", path: "/a/c" })?.name, "short");
});

t.test("findRoute() ignores port and case of the host", async (t) => {
  t.equal(findRoute(TABLE, { host: "H.Example:80", path: "/a/" })?.name, "short");
});

t.test("findRoute() is undefined for another host or path", async (t) => {
  t.equal(findRoute(TABLE, { host: "other.example", path: "/a/" }), undefined);
  t.equal(findRoute(TABLE, { host: "h.example", path: "/ab/" }), undefined);
});

t.test("buildRouteTable() sets no queue allowance for routes to a single leaf", async (t) => {
  const single = route("one leaf", "h.example", "/a/");
  const target = { kind: "gather", shards: ["s"], topRecords: 1, leastShare: 1 } as const;
  const gather = { ...route("all shards", "h.example", "/b/"), target };
  const { configuration } = TABLE;
  const { queueAllowancesMs } = buildRouteTable({ ...configuration, routes: [single, gather] });
  t.same([...queueAllowancesMs.keys()], ["all shards"]);
});
