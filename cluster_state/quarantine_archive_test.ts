import { err, ok } from "neverthrow";
import t from "tap";
import type { StoreError, StoreObject } from "../platform/mod.js";
import type { CrashRecord, ReportedCrashes } from "../quarantine/mod.js";
import { QuarantineArchive } from "./quarantine_archive.js";

const AWAY: StoreError = { kind: "unavailable", message: "Cannot reach the store: refused" };

const RECORD: CrashRecord = {
  fingerprint: "f",
  standing: "quarantined",
  lostLeafs: 4,
  lostTrials: 2,
  hasFailed: true,
  suspectedAtMs: 1_000,
  changedAtMs: 1_500,
};

/** An archive before a store in memory that does not answer its first calls. */
function setUp({ failures = 0, objects = [] as ReadonlyArray<StoreObject> } = {}) {
  const kept = new Map(objects.map((object) => [object.name, object.spec]));
  const found: Array<ReportedCrashes> = [];
  const lines: Array<string> = [];
  let left = failures;
  const isAway = (): boolean => {
    left -= 1;
    return left >= 0;
  };
  const archive = new QuarantineArchive({
    store: {
      create: async (_kind, name, spec) => {
        if (isAway()) {
          return err(AWAY);
        }
        kept.set(name, spec);
        return ok({ name, revision: 1, spec });
      },
      list: async () => {
        const all = [...kept].map(([name, spec]) => ({ name, revision: 1, spec }));
        return isAway() ? err(AWAY) : ok({ objects: all, revision: 1 });
      },
      remove: async (_kind, name) => {
        if (isAway()) {
          return err(AWAY);
        }
        kept.delete(name);
        return ok(undefined);
      },
    },
    nowMs: () => 2_000,
    nowEpochMs: () => 1_700_000_000_000,
    onLoaded: (told) => found.push(...told),
    telemetry: { event: (_level, sentence) => lines.push(sentence) },
  });
  return { archive, kept, found, lines };
}

t.test("a query that is not sent any more is kept, and found by the next life", async (t) => {
  const { archive, found, kept } = setUp();
  await archive.recordChange(RECORD, { ...RECORD, standing: "suspected" });
  t.same(kept.get("f"), { lostLeafs: 4, lostTrials: 2, changedAtEpochMs: 1_699_999_999_500 });
  await archive.load();
  t.match(found, [{ fingerprint: "f", standing: "quarantined", lostLeafs: 4, changedAgoMs: 500 }]);
});

t.test("a store that is away is asked again, with one line in the log", async (t) => {
  const { archive, kept, lines } = setUp({ failures: 2 });
  // The archive's own timers let the process end.
  const alive = setInterval(() => undefined, 100);
  await archive.recordChange(RECORD, undefined);
  clearInterval(alive);
  t.ok(kept.has("f"));
  t.same(lines, ["quarantine: store does not answer"]);
});

t.test("a query that was cleared is removed; a suspect is not kept at all", async (t) => {
  const { archive, kept } = setUp();
  await archive.recordChange(RECORD, undefined);
  await archive.recordChange({ ...RECORD, standing: "cleared" }, RECORD);
  t.equal(kept.size, 0);
  await archive.recordChange({ ...RECORD, standing: "suspected" }, undefined);
  t.equal(kept.size, 0);
});

t.test("entries that cannot be read are passed over, and old ones removed", async (t) => {
  const spec = { lostLeafs: 3, lostTrials: 2, changedAtEpochMs: 1_700_000_000_000 };
  const old = { ...spec, changedAtEpochMs: 1_600_000_000_000 };
  const ahead = { ...spec, changedAtEpochMs: 1_700_000_009_000 };
  const { archive, found, kept } = setUp({
    objects: [
      { name: "strange", revision: 1, spec: "?" },
      { name: "old", revision: 1, spec: old },
      { name: "ahead", revision: 1, spec: ahead },
    ],
  });
  await archive.load();
  t.same([...kept.keys()], ["strange", "ahead"]);
  t.equal(found.find(({ fingerprint }) => fingerprint === "ahead")?.changedAgoMs, 0);
});

t.test("an archive that is stopped asks no more", async (t) => {
  const { archive, lines } = setUp({ failures: 1_000 });
  archive.stop();
  await archive.load();
  t.same(lines, []);
});
