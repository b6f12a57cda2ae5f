import { err, ok } from "neverthrow";
import t from "tap";
import type { FleetSize } from "../model/mod.js";
import type { StoreObject } from "../platform/mod.js";
import { FleetRoster, type FleetRosterOptions } from "./fleet_roster.js";

const LONG_UPTIME_MS = 700_000;

/** Creates a store that keeps one object. */
function createStore(initial?: unknown) {
  let object: StoreObject | undefined =
    initial === undefined ? undefined : { name: "boxes", revision: 1, spec: initial };
  let calls = 0;
  const store: FleetRosterOptions["store"] = {
    read: async () => {
      calls += 1;
      return object === undefined ? err({ kind: "notFound", message: "none" }) : ok(object);
    },
    create: async (_kind, name, spec) => {
      calls += 1;
      if (object !== undefined) {
        return err({ kind: "conflict", message: "it exists", object });
      }
      object = { name, revision: 1, spec };
      return ok(object);
    },
    replace: async (_kind, replaced) => {
      calls += 1;
      if (replaced.revision !== object?.revision) {
        return err({ kind: "conflict", message: "it has changed", object });
      }
      object = { ...replaced, revision: replaced.revision + 1 };
      return ok(object);
    },
  };
  return { store, spec: () => object?.spec, countCalls: () => calls };
}

/** Processor cores of boxes, 0.5 each. */
function coresOf(boxes: ReadonlyArray<string>): ReadonlyMap<string, number> {
  return new Map(boxes.map((box) => [box, 0.5]));
}

function entryOf(generation: number, boxes: ReadonlyArray<string>) {
  return { generation, boxes: Object.fromEntries(coresOf(boxes)) };
}

function sizeOf(generation: number, boxCount: number): FleetSize {
  return { generation, boxCount, totalWeight: boxCount / 4 };
}

interface BoxOptions {
  readonly store: FleetRosterOptions["store"];
  readonly running: ReadonlyArray<string>;
  readonly known?: ReadonlyArray<string>;
  readonly rank?: number;
}

function createBox({ store, running, known = running, rank = 0 }: BoxOptions) {
  let nowMs = 0;
  let size: FleetSize | undefined;
  const roster = new FleetRoster({
    box: running[0] ?? "",
    store,
    nowMs: () => nowMs,
    runningBoxes: () => coresOf(running),
    knownBoxes: () => coresOf(known),
    rank: () => rank,
    size: () => size,
    onSize: (next) => {
      size = next;
    },
    telemetry: { event: () => undefined },
  });
  return {
    roster,
    size: () => size,
    checkAt: async (atMs: number) => {
      nowMs = atMs;
      roster.check();
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}

t.test("boxes that never met are all listed", async (t) => {
  const { store, spec } = createStore();
  const boxes = ["a", "b", "c"].map((box) => createBox({ store, running: [box] }));
  for (const atMs of [0, 1_000, 2_500, 6_500]) {
    await Promise.all(boxes.map(({ checkAt }) => checkAt(atMs)));
  }
  for (const { checkAt } of boxes) {
    await checkAt(30_000);
  }
  t.same(spec(), entryOf(3, ["a", "b", "c"]));
  t.same(
    boxes.map(({ size }) => size()?.boxCount),
    [3, 3, 3],
  );
});

t.test("a complete list is read rarely, and by one box only", async (t) => {
  const { store, countCalls } = createStore(entryOf(2, ["a", "b"]));
  const first = createBox({ store, running: ["a", "b"] });
  const second = createBox({ store, running: ["b", "a"], rank: 1 });
  await second.roster.update();
  for (let atMs = 0; atMs <= 60_000; atMs += 200) {
    await first.checkAt(atMs);
    await second.checkAt(atMs);
  }
  t.ok(countCalls() <= 6, `${countCalls()} calls in a minute`);
  t.same(first.size(), sizeOf(2, 2));
});

t.test("a box that lost contact with most others does not remove them", async (t) => {
  const listed = entryOf(4, ["a", "b", "c", "d", "e"]);
  const minority = createStore(listed);
  const alone = createBox({ store: minority.store, running: ["a", "b"] });
  await alone.checkAt(1_500);
  await alone.checkAt(LONG_UPTIME_MS);
  t.same(minority.spec(), listed);

  const majority = createStore(listed);
  const most = createBox({
    store: majority.store,
    running: ["a", "b", "c"],
    known: ["a", "b", "c", "d"],
  });
  await most.checkAt(1_500);
  t.same(majority.spec(), listed, "not soon after its start");
  await most.checkAt(LONG_UPTIME_MS);
  t.same(majority.spec(), entryOf(5, ["a", "b", "c", "d"]), "a dead box is kept");
  t.same(most.size(), sizeOf(5, 4));
});

t.test(
  "a list that a restored store lacks, or has as an older one, is written again",
  async (t) => {
    const { store, spec } = createStore(entryOf(1, ["a"]));
    const box = createBox({ store, running: ["a", "b"] });
    await box.checkAt(1_000);
    await box.checkAt(2_500);
    t.same(box.size(), sizeOf(2, 2));
    const older = createStore(entryOf(1, ["a"]));
    Object.assign(store, older.store);
    await box.roster.update();
    t.same(older.spec(), entryOf(3, ["a", "b"]));
    t.same(spec(), entryOf(2, ["a", "b"]));
  },
);

t.test("a malformed list is replaced", async (t) => {
  const { store, spec } = createStore({ boxes: "all" });
  await createBox({ store, running: ["a"] }).roster.update();
  t.same(spec(), entryOf(1, ["a"]));
});
