/**
 * What was seen by reading: what a peer handed over was taken as it came. A leaf whose port was a text, or a route without
 * homes, ended each box that took it over at its next call.
 */
import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
import { spoiltValue } from "../standins/spoilt_value.js";
import { decodeSharedState, encodeSharedState, type SharedState } from "./shared_state.js";

const TERMS = { repeatable: true, timeoutMs: 1_000, aimMs: 100, priorityRank: 1, maxAttempts: 2 };

const SHARED: SharedState = {
  configuration: {
    version: 7,
    routes: [
      {
        ...{ ...TERMS, name: "r", host: "h", prefix: "/a/", homes: ["north"] },
        target: { kind: "gather", shards: ["s"], topRecords: 5, leastShare: 0.5 },
      },
      {
        ...{ ...TERMS, name: "q", host: "h", prefix: "/b/", homes: [] },
        target: { kind: "single", services: [{ service: "s", weight: 1 }] },
      },
    ],
    services: [
      { service: "s", maxConnections: 9, healthPath: "/", warmupMs: 3_000, warmupPerS: 2 },
    ],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
  leafs: [SAMPLE_LEAF],
  removed: ["gone"],
  lapsed: [{ leafId: "i-1", leftMs: 500 }],
  leafsRevision: 12,
};

/** The type of each value, place by place; what is missing has none. */
function shapeOf(data: unknown): unknown {
  if (Array.isArray(data)) {
    return data.map(shapeOf).slice(0, 1);
  }
  if (typeof data === "object" && data !== null) {
    return Object.fromEntries(Object.entries(data).map(([name, value]) => [name, shapeOf(value)]));
  }
  return typeof data;
}

function isOfShape(data: unknown, shape: unknown): boolean {
  if (Array.isArray(shape)) {
    return Array.isArray(data) && data.every((each) => isOfShape(each, shape[0]));
  }
  if (typeof shape === "object" && shape !== null) {
    const fields = Object(data) as Readonly<Record<string, unknown>>;
    return Object.entries(shape).every(([name, each]) => isOfShape(fields[name], each));
  }
  return typeof data === shape;
}

const LEAF_SHAPE = shapeOf(SAMPLE_LEAF);

function isWhole({ configuration, lapsed, leafs, leafsRevision }: SharedState): boolean {
  const areLeafs = leafs.every((leaf) => isOfShape(leaf, LEAF_SHAPE));
  const areRoutes = (configuration?.routes ?? []).every(({ homes, host, prefix }) => {
    return Array.isArray(homes) && typeof host === "string" && typeof prefix === "string";
  });
  const areLapsed = lapsed.every(({ leafId, leftMs }) => {
    return typeof leafId === "string" && Number.isFinite(leftMs);
  });
  return areLeafs && areRoutes && areLapsed && Number.isFinite(leafsRevision);
}

t.test("what is handed over whole is taken over", async (t) => {
  t.same(decodeSharedState(encodeSharedState(SHARED)), SHARED);
});

t.test("what is handed over is taken where each value is what it should be, or not", async (t) => {
  let taken = 0;
  fc.assert(
    fc.property(spoiltValue(SHARED, 60), (data) => {
      try {
        const shared = decodeSharedState(deflateRawSync(JSON.stringify(data)));
        taken += 1;
        return isWhole(shared);
      } catch (error) {
        return (error as Error).message.startsWith("Cannot read what the peer handed over");
      }
    }),
    { numRuns: 3_000, seed: 31 },
  );
  t.pass(`${taken} of 3,000 were taken`);
});
