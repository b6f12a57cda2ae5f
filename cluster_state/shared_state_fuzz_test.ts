/** Guards against crashes of a box that merges invalid state from a peer. */
import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { corruptedValue } from "../standins/corrupted_value.js";
import { SAMPLE_LEAF } from "../standins/sample_leaf.js";
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
  removed: ["i-2"],
  lapsed: [{ leafId: "i-1", leftMs: 500 }],
  leafsRevision: 12,
};

/** Returns the type of each value in a nested structure. */
function shapeOf(data: unknown): unknown {
  if (Array.isArray(data)) {
    return data.map(shapeOf).slice(0, 1);
  }
  if (typeof data === "object" && data !== null) {
    return Object.fromEntries(Object.entries(data).map(([name, value]) => [name, shapeOf(value)]));
  }
  return typeof data;
}

function matchesShape(data: unknown, shape: unknown): boolean {
  if (Array.isArray(shape)) {
    return Array.isArray(data) && data.every((each) => matchesShape(each, shape[0]));
  }
  if (typeof shape === "object" && shape !== null) {
    const fields = Object(data) as Readonly<Record<string, unknown>>;
    return Object.entries(shape).every(([name, each]) => matchesShape(fields[name], each));
  }
  return typeof data === shape;
}

const LEAF_SHAPE = shapeOf(SAMPLE_LEAF);

function isValid({ configuration, lapsed, leafs, leafsRevision }: SharedState): boolean {
  const areLeafsValid = leafs.every((leaf) => matchesShape(leaf, LEAF_SHAPE));
  const areRoutesValid = (configuration?.routes ?? []).every(({ homes, host, prefix }) => {
    return Array.isArray(homes) && typeof host === "string" && typeof prefix === "string";
  });
  const areLapsedValid = lapsed.every(({ leafId, leftMs }) => {
    return typeof leafId === "string" && Number.isFinite(leftMs);
  });
  return areLeafsValid && areRoutesValid && areLapsedValid && Number.isFinite(leafsRevision);
}

t.test("decodeSharedState() decodes the output of encodeSharedState()", async (t) => {
  t.same(decodeSharedState(encodeSharedState(SHARED)), SHARED);
});

t.test("decodeSharedState() returns valid state or throws", async (t) => {
  let accepted = 0;
  fc.assert(
    fc.property(corruptedValue(SHARED, 60), (data) => {
      try {
        const shared = decodeSharedState(deflateRawSync(JSON.stringify(data)));
        accepted += 1;
        return isValid(shared);
      } catch (error) {
        return (error as Error).message.startsWith("Cannot decode shared state");
      }
    }),
    { numRuns: 3_000, seed: 31 },
  );
  t.pass(`${accepted} of 3,000 were accepted`);
});
