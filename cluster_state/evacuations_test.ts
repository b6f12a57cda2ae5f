import t from "tap";
import { storePosition } from "../model/mod.js";
import { Evacuations } from "./evacuations.js";

function makeEvacuations() {
  const clock = { nowMs: 0 };
  const usedAgain: Array<string> = [];
  const evacuations = new Evacuations({
    nowMs: () => clock.nowMs,
    telemetry: { event: () => undefined },
    onChange: (names) => usedAgain.push(...names),
  });
  return { clock, usedAgain, evacuations };
}

function objectsOf(...names: ReadonlyArray<string>) {
  return names.map((name) => ({ name, revision: 1, spec: {} }));
}

t.test("an evacuation is in effect until a change removes it", async (t) => {
  const { evacuations, usedAgain } = makeEvacuations();
  evacuations.applyList({ objects: [], revision: 5 });
  t.equal(evacuations.update, undefined, "no update before the first evacuation");
  evacuations.applyChanges({ changed: objectsOf("a"), removed: [], revision: 7 });
  t.same([...evacuations.dataCentres], ["a"]);
  evacuations.applyChanges({ changed: [], removed: ["a"], revision: 9 });
  t.same([...evacuations.dataCentres], []);
  t.same(usedAgain, ["a"]);
  t.same(evacuations.update, { position: 9, dataCentres: [] }, "the update includes the end");
});

t.test("merge() applies only updates with a later position", async (t) => {
  const { evacuations } = makeEvacuations();
  t.ok(evacuations.merge({ position: 7, dataCentres: ["a"] }));
  t.notOk(evacuations.merge({ position: 6, dataCentres: [] }));
  t.same([...evacuations.dataCentres], ["a"]);
  evacuations.applyChanges({ changed: [], removed: ["a"], revision: 6 });
  t.same([...evacuations.dataCentres], ["a"], "an older change of the store is ignored");
});

t.test("evacuations missing in a restored store remain until the rewrite timeout", async (t) => {
  const { clock, evacuations } = makeEvacuations();
  evacuations.applyList({ objects: objectsOf("a", "b"), revision: 100 });
  evacuations.applyList({ objects: [], revision: storePosition({ era: 1, revision: 90 }) });
  t.same([...evacuations.dataCentres], ["a", "b"]);
  const revision = storePosition({ era: 1, revision: 92 });
  evacuations.applyChanges({ changed: objectsOf("a"), removed: [], revision });
  clock.nowMs = 60_000;
  evacuations.dropExpired();
  t.same([...evacuations.dataCentres], ["a"], "an evacuation that is not written again ends");
});
