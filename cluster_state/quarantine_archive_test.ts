import { err, ok } from "neverthrow";
import t from "tap";
import type { StoreError, StoreObject } from "../platform/mod.js";
import type { CrashRecord, ReportedCrashes } from "../quarantine/mod.js";
import { QuarantineArchive } from "./quarantine_archive.js";

const UNAVAILABLE: StoreError = { kind: "unavailable", message: "Cannot reach the store: refused" };

const RECORD: CrashRecord = {
  fingerprint: "f",
  standing: "quarantined",
  lostLeafs: 4,
  lostTrials: 2,
  hasFailed: true,
  suspectedAtMs: 1_000,
  changedAtMs: 1_500,
};

/** Creates an archive with an in-memory store that fails its first calls. */
function setUp({ failures = 0, objects = [] as ReadonlyArray<StoreObject> } = {}) {
  const stored = new Map(objects.map((object) => [object.name, object.spec]));
  const loaded: Array<ReportedCrashes> = [];
  const lines: Array<string> = [];
  let failuresLeft = failures;
  const failsNext = (): boolean => {
    failuresLeft -= 1;
    return failuresLeft >= 0;
  };
  const archive = new QuarantineArchive({
    store: {
      create: async (_kind, name, spec) => {
        if (failsNext()) {
          return err(UNAVAILABLE);
        }
        stored.set(name, spec);
        return ok({ name, revision: 1, spec });
      },
      list: async () => {
        const all = [...stored].map(([name, spec]) => ({ name, revision: 1, spec }));
        return failsNext() ? err(UNAVAILABLE) : ok({ objects: all, revision: 1 });
      },
      remove: async (_kind, name) => {
        if (failsNext()) {
          return err(UNAVAILABLE);
        }
        stored.delete(name);
        return ok(undefined);
      },
    },
    nowMs: () => 2_000,
    nowEpochMs: () => 1_700_000_000_000,
    onLoaded: (crashes) => loaded.push(...crashes),
    telemetry: { event: (_level, message) => lines.push(message) },
  });
  return { archive, stored, loaded, lines };
}

t.test("a quarantined query is persisted and loaded by the next incarnation", async (t) => {
  const { archive, loaded, stored } = setUp();
  await archive.recordChange(RECORD, { ...RECORD, standing: "suspected" });
  t.same(stored.get("f"), { lostLeafs: 4, lostTrials: 2, changedAtEpochMs: 1_699_999_999_500 });
  await archive.load();
  t.match(loaded, [{ fingerprint: "f", standing: "quarantined", lostLeafs: 4, changedAgoMs: 500 }]);
});

t.test("a failed call to the store is retried, with one log line", async (t) => {
  const { archive, stored, lines } = setUp({ failures: 2 });
  // The archive's own timers do not keep the process running.
  const keepAlive = setInterval(() => undefined, 100);
  await archive.recordChange(RECORD, undefined);
  clearInterval(keepAlive);
  t.ok(stored.has("f"));
  t.same(lines, ["quarantine: call to the store failed"]);
});

t.test("a cleared query is removed, and a suspected one is not persisted", async (t) => {
  const { archive, stored } = setUp();
  await archive.recordChange(RECORD, undefined);
  await archive.recordChange({ ...RECORD, standing: "cleared" }, RECORD);
  t.equal(stored.size, 0);
  await archive.recordChange({ ...RECORD, standing: "suspected" }, undefined);
  t.equal(stored.size, 0);
});

t.test("unreadable entries are ignored, and expired ones are removed", async (t) => {
  const spec = { lostLeafs: 3, lostTrials: 2, changedAtEpochMs: 1_700_000_000_000 };
  const old = { ...spec, changedAtEpochMs: 1_600_000_000_000 };
  const ahead = { ...spec, changedAtEpochMs: 1_700_000_009_000 };
  const { archive, loaded, stored } = setUp({
    objects: [
      { name: "unreadable", revision: 1, spec: "?" },
      { name: "old", revision: 1, spec: old },
      { name: "ahead", revision: 1, spec: ahead },
    ],
  });
  await archive.load();
  t.same([...stored.keys()], ["unreadable", "ahead"]);
  t.equal(loaded.find(({ fingerprint }) => fingerprint === "ahead")?.changedAgoMs, 0);
});

t.test("a stopped archive makes no calls", async (t) => {
  const { archive, lines } = setUp({ failures: 1_000 });
  archive.stop();
  await archive.load();
  t.same(lines, []);
});
