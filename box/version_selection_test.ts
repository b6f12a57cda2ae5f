// Guards against a rollout whose share of the calls does not reach the target version, and against
// requests that wait for leafs that no version allows.

import t from "tap";
import { LeafAccess } from "../leaf_access/mod.js";
import type { Leaf } from "../leafs/mod.js";
import { newRequest, type RequestEffect, stepRequest } from "../request/mod.js";
import type { VersionBlockCause } from "../rollouts/version_access.js";
import { ANY_REGION, type Route } from "../routing/mod.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { RunContext } from "./_run_context.js";
import type { RunnerOptions } from "./_runner_options.js";

const SERVICES = ["s1", "s2"];

/** Returns a near leaf of version v1 and one of version v2 in another region. */
function leafsOf(service: string): ReadonlyArray<Leaf> {
  return [
    { ...SAMPLE_LEAF, service, leafId: `${service}-v1`, version: "v1", dataCentre: "near" },
    { ...SAMPLE_LEAF, service, leafId: `${service}-v2`, version: "v2", dataCentre: "far" },
  ];
}

interface Versions {
  readonly preferred?: string;
  readonly causes?: Readonly<Record<string, VersionBlockCause>>;
}

function contextWith({ causes = {}, preferred }: Versions): RunContext {
  const access = new LeafAccess({
    routes: () => undefined,
    regionOf: (dataCentre) => dataCentre,
    evacuated: () => new Set(),
    coldLeafs: { isCold: () => false, mayCall: () => true, recordCallSent: () => undefined },
    quarantine: { permission: () => "unrestricted" },
    versions: {
      blockCause: ({ version = "" }) => causes[version],
      preferredVersion: () => preferred,
      recordCallSent: () => undefined,
      recordCallEnd: () => undefined,
    },
  });
  const isNear = ({ dataCentre }: Leaf): boolean => dataCentre === "near";
  const box = {
    access,
    calls: { health: () => undefined },
    leafs: () => ({ byService: new Map(SERVICES.map((service) => [service, leafsOf(service)])) }),
    places: {
      distance: (leaf: Leaf) => (isNear(leaf) ? "zone" : "remote"),
      placeOf: (leaf: Leaf) => (isNear(leaf) ? undefined : "far"),
      boxesAt: () => [],
    },
    relays: {
      choose: () => ({ member: { memberId: "box in far" }, typicalLatencyMs: 1 }),
      queueMs: () => 0,
    },
    quarantine: { permission: () => "unrestricted" },
    recordQueue: () => 0,
    extraCallsLeft: () => 9,
    takeExtraCall: () => true,
  } as unknown as RunnerOptions;
  const acceptedRoute = { key: { host: "h", path: "/a/" }, allowedRegions: ANY_REGION };
  return new RunContext(box, {
    ...{ fingerprint: "q", body: undefined, acceptedRoute, objectiveMs: 100 },
    placement: "least-loaded",
  });
}

const GATHER: Route["target"] = { kind: "gather", shards: SERVICES, topRecords: 2, leastShare: 1 };
const SINGLE: Route["target"] = { kind: "single", services: [{ service: "s1", weight: 1 }] };

function start(target: Route["target"], context: RunContext) {
  const route: Route = {
    ...{ name: "r", host: "h", prefix: "/a/", repeatable: true, timeoutMs: 1_000, aimMs: 100 },
    ...{ priorityRank: 0, maxAttempts: 2, homes: [], target },
  };
  const times = { arrivedAtMs: 0, deadlineAtMs: 1_000, objectiveAtMs: 100 };
  const limits = { maxAttempts: 2, maxQueueMs: 50, finishShare: 1 };
  const services = target.kind === "gather" ? SERVICES : ["s1"];
  const request = newRequest({ requestId: "r", route, ...times, ...limits }, services);
  return stepRequest(request, { kind: "started" }, context);
}

function callsOf(effects: ReadonlyArray<RequestEffect>) {
  return effects.filter(({ kind }) => kind === "call" || kind === "relay");
}

// Guards against first calls that are relayed, whose version another box would choose by its own
// credit.
t.test("first calls go to the preferred version directly, even in another region", async (t) => {
  const { effects } = start(GATHER, contextWith({ preferred: "v2" }));
  t.match(callsOf(effects), [
    { kind: "call", leafId: "s1-v2", relayPlace: undefined, isFirst: true },
    { kind: "call", leafId: "s2-v2", relayPlace: undefined, isFirst: true },
  ]);
});

// Guards against requests that fail although another version can serve them.
t.test("first calls go elsewhere if the preferred version cannot be called", async (t) => {
  const context = contextWith({ preferred: "v2", causes: { v2: "exposureLimit" } });
  const { effects } = start(GATHER, context);
  t.match(callsOf(effects), [{ leafId: "s1-v1" }, { leafId: "s2-v1" }]);
});

// Guards against hedges that go to a version that may be bad, and hedges that are not sent at all.
t.test("a hedge avoids the preferred version unless the others are blocked", async (t) => {
  const gradual = start(SINGLE, contextWith({ preferred: "v1" }));
  t.match(callsOf(gradual.effects), [{ leafId: "s1-v1" }]);
  const noLeafs = new Set<string>();
  t.equal(contextWith({ preferred: "v1" }).chooseLeaf("s1", noLeafs)?.leafId, "s1-v2");
  const switching = contextWith({ preferred: "v2", causes: { v1: "switching" } });
  t.equal(switching.chooseLeaf("s1", noLeafs)?.leafId, "s1-v2");
});

// Guards against requests that wait until their deadline for a leaf that no rollout permits.
t.test("a request is refused at once if all its leafs are blocked by version", async (t) => {
  for (const target of [SINGLE, GATHER]) {
    const context = contextWith({ causes: { v1: "switching", v2: "bad" } });
    const { effects, state } = start(target, context);
    t.match(effects.at(-1), { kind: "reply", reply: { kind: "notRun" } });
    t.ok(state.done);
    t.equal(
      context.blockedShards.get("s1"),
      "version v1 of s1 is being replaced; version v2 of s1 was judged as bad",
    );
  }
});

const BLOCKED = {
  kind: "failed",
  sent: false,
  reason: "blocked",
  blockReason: { kind: "version", service: "s1", version: "v1", cause: "switching" },
} as const;

// Guards against calls to a version that was blocked after its leaf had been selected.
t.test("a call blocked between selection and sending goes elsewhere or is refused", async (t) => {
  const event = { kind: "attemptEnded", attemptId: 1, outcome: BLOCKED } as const;
  const { state } = start(SINGLE, contextWith({}));
  const switching = contextWith({ causes: { v1: "switching" } });
  const elsewhere = stepRequest(state, event, switching);
  t.match(callsOf(elsewhere.effects), [{ leafId: "s1-v2", isFirst: false }]);
  const blocked = contextWith({ causes: { v1: "switching", v2: "bad" } });
  const refused = stepRequest(state, event, blocked);
  t.match(refused.effects.at(-1), { kind: "reply", reply: { kind: "notRun" } });
});
