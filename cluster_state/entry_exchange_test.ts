// Guards against data that one box reads from the store and its peers reject, as they reject the
// other data of the same message with it.
import fc from "fast-check";
import t from "tap";
import { decodeLeaf } from "../platform/mod.js";
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
