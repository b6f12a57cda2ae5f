import t from "tap";
import { fnv1a } from "./fnv1a.js";
import { rendezvousRank } from "./rendezvous.js";

const NAMES = ["a", "b", "c", "d", "e"];

t.test("rendezvousRank() reassigns only the keys of a removed name", async (t) => {
  for (let key = 0; key < 200; key++) {
    const before = rendezvousRank(`leaf-${key}`, NAMES);
    const after = rendezvousRank(
      `leaf-${key}`,
      NAMES.filter((name) => name !== "c"),
    );
    t.same(
      after,
      before.filter((name) => name !== "c"),
    );
  }
});

t.test("rendezvousRank() distributes keys to within a third of an equal share", async (t) => {
  const owned = new Map<string, number>();
  for (let key = 0; key < 2_000; key++) {
    const owner = rendezvousRank(`leaf-${key}`, NAMES)[0] ?? "";
    owned.set(owner, (owned.get(owner) ?? 0) + 1);
  }
  for (const name of NAMES) {
    t.ok(Math.abs((owned.get(name) ?? 0) - 400) < 133, `${name} owns ${owned.get(name)}`);
  }
});

t.test("fnv1a() returns the same hash for the same text", async (t) => {
  t.equal(fnv1a("rackvale"), fnv1a("rackvale"));
  t.not(fnv1a("a"), fnv1a("b"));
});
