// Guards against data that one box reads from the store and its peers reject, as they reject the
// other data of the same message with it.

import fc from "fast-check";
import { ok } from "neverthrow";
import t, { type Test } from "tap";
import {
  decodeFleetMessage,
  encodeFleetMessage,
  type FleetMessage,
  toRolloutMessage,
} from "../fleet/mod.js";
import { decodeConfiguration, decodeLeaf, decodeQuarantineEntry } from "../platform/mod.js";
import { FleetRoster } from "./fleet_roster.js";
import { RolloutOrders } from "./rollout_orders.js";
import { decodeSharedState, encodeSharedState, type SharedState } from "./shared_state.js";

const VALID_ENTRY = {
  ...{ service: "s", address: "10.0.0.1:80", zone: "hall-a", version: "v1" },
  ...{ slots: 2, state: "ready", warmupLeftMs: 0, sequence: 7, born: 1 },
};

/** Addresses most of which look like one, but many of which are none. */
const ADDRESSES = fc.oneof(
  fc.string({ maxLength: 20 }),
  fc.webUrl(),
  fc.tuple(fc.ipV4Extended(), fc.nat(99_999)).map(([address, port]) => `${address}:${port}`),
  fc.tuple(fc.domain(), fc.nat(99_999)).map(([name, port]) => `${name}:${port}`),
  fc.tuple(fc.ipV4(), fc.integer()).map(([address, port]) => `${address}:${port}`),
);

/** Values of other types and odd values, for any field. */
const ODD_VALUES = fc.oneof(
  ...[
    fc.jsonValue({ maxDepth: 1 }),
    fc.double(),
    fc.integer(),
    fc.string(),
    fc.constant(undefined),
  ],
);

/** Generates a field that mostly has its valid value, so that most entries have a few odd fields. */
function fieldOf(valid: unknown, odd: fc.Arbitrary<unknown> = ODD_VALUES): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 5, arbitrary: fc.constant(valid) }, { weight: 1, arbitrary: odd });
}

const LEAF_IDS = fc.oneof(fc.stringMatching(/^i-[0-9a-f]{8}$/), fc.string());

const ENTRIES = fc.record({
  ...Object.fromEntries(Object.entries(VALID_ENTRY).map(([name, value]) => [name, fieldOf(value)])),
  address: fieldOf(VALID_ENTRY.address, ADDRESSES),
});

t.test("a leaf that is read from the store is accepted by peers", async (t) => {
  let accepted = 0;
  fc.assert(
    fc.property(LEAF_IDS, ENTRIES, (leafId, entry) => {
      const leaf = decodeLeaf(leafId, entry);
      if (leaf === undefined) {
        return true;
      }
      accepted += 1;
      const shared: SharedState = { leafs: [leaf], removed: [], lapsed: [], leafsRevision: 1 };
      return decodeSharedState(encodeSharedState(shared)).leafs.length === 1;
    }),
    { numRuns: 3_000, seed: 57 },
  );
  t.ok(accepted > 500, `${accepted} of 3,000 entries were accepted`);
});

/** Numbers as JSON may contain them, extreme ones more often. */
const NUMBERS = fc.oneof(
  ...[fc.double({ noNaN: true, noDefaultInfinity: true }), fc.integer(), fc.maxSafeInteger()],
  fc.constantFrom(0, -1, 0.5, Number.MAX_VALUE, -Number.MAX_VALUE, Number.MAX_SAFE_INTEGER),
);

function numberField(valid: number): fc.Arbitrary<unknown> {
  return fieldOf(valid, fc.oneof(NUMBERS, ODD_VALUES));
}

/** Checks a property of generated entries, enough of which are read. */
async function checkEntries(
  t: Test,
  entries: fc.Arbitrary<unknown>,
  isAccepted: (spec: unknown) => Promise<boolean | undefined>,
): Promise<void> {
  let read = 0;
  const property = fc.asyncProperty(entries, async (spec) => {
    const accepted = await isAccepted(spec);
    read += accepted === undefined ? 0 : 1;
    return accepted ?? true;
  });
  await fc.assert(property, { numRuns: 2_000, seed: 57 });
  t.ok(read > 300, `${read} of 2,000 entries were read`);
}

t.test("a configuration that is read from the store is accepted by peers", async (t) => {
  const route = fc.record({
    ...{ name: fieldOf("r"), host: fieldOf("h"), pathPrefix: fieldOf("/"), type: fieldOf("safe") },
    ...{ timeoutMs: numberField(9), targetLatencyMs: numberField(9), priority: numberField(1) },
    ...{ maxAttempts: numberField(2), topK: numberField(5), minShardShare: numberField(0.5) },
    gather: fieldOf(["s"]),
  });
  const service = fc.record({
    ...{ name: fieldOf("s"), maxConnections: numberField(9), warmupPerS: numberField(2) },
    ...{ warmupS: numberField(3), healthCheckPath: fieldOf("/") },
  });
  const limits = fc.record({
    ...{ maxHeaderBytes: numberField(9), maxBodyBytes: numberField(9) },
    ...{ headerTimeoutMs: numberField(9), idleTimeoutMs: numberField(9) },
  });
  const specs = fc.record({
    ...{ version: numberField(1), routes: fc.tuple(route), services: fc.tuple(service), limits },
  });
  await checkEntries(t, specs, async (spec) => {
    const configuration = decodeConfiguration(spec).unwrapOr(undefined);
    if (configuration === undefined) {
      return undefined;
    }
    const shared = { configuration, leafs: [], lapsed: [], leafsRevision: 1 };
    return decodeSharedState(encodeSharedState(shared)).configuration !== undefined;
  });
});

const MESSAGE: FleetMessage = {
  ...{ kind: "news", number: 1, members: [], crashes: [] },
  progress: { configurationVersion: 1, leafsRevision: 1 },
};

t.test("a rollout that is read from the store is accepted by peers", async (t) => {
  const orders = fc.record({
    ...{ service: fieldOf("s"), targetVersion: fieldOf("v2"), durationS: numberField(20) },
  });
  const status = fc.record({
    ...{ state: fieldOf("running"), targetVersion: fieldOf("v2"), durationS: numberField(20) },
    ...{ orderRevision: numberField(1), attempt: numberField(1) },
    ...{ startedAtEpochMs: numberField(1), retiredVersions: fieldOf([]) },
  });
  const objects = fc.record({ spec: orders, status: fc.option(status, { nil: undefined }) });
  await checkEntries(t, objects, async (object) => {
    const known = new RolloutOrders({
      ...{ nowMs: () => 1, nowEpochMs: () => 1, onChange: () => undefined },
      telemetry: { event: () => undefined },
    });
    known.applyList({
      objects: [{ ...(object as { readonly spec: unknown }), name: "s", revision: 5 }],
      revision: 6,
    });
    if (known.get("s") === undefined) {
      return undefined;
    }
    const rollouts = toRolloutMessage(known.update, { nowMs: 2, hasOrders: true, reports: [] });
    return decodeFleetMessage(encodeFleetMessage({ ...MESSAGE, rollouts })) !== undefined;
  });
});

t.test("a list of boxes that is read from the store is accepted by peers", async (t) => {
  const specs = fc.record({
    generation: numberField(3),
    boxes: fieldOf({ a: 1 }, fc.dictionary(fc.string(), numberField(1))),
  });
  await checkEntries(t, specs, async (spec) => {
    const messages: Array<Buffer> = [];
    const object = { name: "boxes", revision: 1, spec };
    const roster = new FleetRoster({
      ...{ box: "a", nowMs: () => 1, rank: () => 0, size: () => undefined },
      ...{ runningBoxes: () => new Map([["a", 1]]), knownBoxes: () => new Map([["a", 1]]) },
      store: {
        read: async () => ok(object),
        create: async () => ok(object),
        replace: async (_kind, replaced) => ok(replaced),
      },
      onSize: (fleetSize) => messages.push(encodeFleetMessage({ ...MESSAGE, fleetSize })),
      telemetry: { event: () => undefined },
    });
    await roster.update();
    const [message] = messages;
    return message && decodeFleetMessage(message) !== undefined;
  });
});

t.test("a quarantined query that is read from the store is accepted by peers", async (t) => {
  const specs = fc.record({
    ...{ lostLeafs: numberField(3), lostTrials: numberField(1), changedAtEpochMs: numberField(1) },
  });
  await checkEntries(t, specs, async (spec) => {
    const crashes = decodeQuarantineEntry("f", spec, 1_800_000_000_000);
    return (
      crashes &&
      decodeFleetMessage(encodeFleetMessage({ ...MESSAGE, crashes: [crashes] })) !== undefined
    );
  });
});
