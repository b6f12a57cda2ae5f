import t from "tap";
import { Quarantine, type QuarantineChange } from "./quarantine.js";

const QUERY = "query";
const CRASH = { fingerprint: QUERY, isTrial: false } as const;
const TRIAL_CRASH = { fingerprint: QUERY, isTrial: true } as const;

/** Creates a quarantine with a manual clock. */
function setUp({ isTrialBox = true }: { readonly isTrialBox?: boolean } = {}) {
  const clock = { nowMs: 50_000 };
  const changes: Array<QuarantineChange> = [];
  const quarantine = new Quarantine({
    nowMs: () => clock.nowMs,
    isTrialBox: () => isTrialBox,
    onChange: (change) => changes.push(change),
  });
  return { clock, changes, quarantine };
}

/** Records crashes until the query is quarantined. */
function quarantineQuery(quarantine: Quarantine): void {
  quarantine.recordCrash(CRASH);
  quarantine.recordCrash(TRIAL_CRASH);
  quarantine.recordCrash(TRIAL_CRASH);
}

t.test("a query without crashes is unrestricted", async (t) => {
  t.equal(setUp().quarantine.permission(QUERY), "unrestricted");
});

t.test("after a crash, a query is sent one call at a time", async (t) => {
  const { quarantine } = setUp();
  quarantine.recordCrash(CRASH);
  t.equal(quarantine.permission(QUERY), "exclusive");
  t.equal(quarantine.permission("another"), "unrestricted");
  quarantine.beginTrial(QUERY);
  t.equal(quarantine.permission(QUERY), "deferred");
  quarantine.endTrial(QUERY);
  t.equal(quarantine.permission(QUERY), "exclusive");
});

t.test("an answer clears a suspected query", async (t) => {
  const { quarantine } = setUp();
  quarantine.recordCrash(CRASH);
  quarantine.recordCrash(TRIAL_CRASH);
  quarantine.recordAnswer(QUERY);
  t.equal(quarantine.permission(QUERY), "unrestricted");
});

t.test("crashes without trials do not quarantine a query", async (t) => {
  const { quarantine } = setUp();
  for (let count = 0; count < 40; count++) {
    quarantine.recordCrash(CRASH);
  }
  t.equal(quarantine.permission(QUERY), "exclusive");
});

t.test("two crashed trials quarantine a query, with a retry time", async (t) => {
  const { clock, quarantine } = setUp();
  quarantineQuery(quarantine);
  t.equal(quarantine.permission(QUERY), "blocked");
  t.equal(quarantine.retryAfterMs(QUERY), 600_000);
  clock.nowMs += 100_000;
  t.equal(quarantine.retryAfterMs(QUERY), 500_000);
});

t.test("a crash right after an answer is not attributed to the query", async (t) => {
  const { clock, quarantine } = setUp();
  quarantine.recordAnswer(QUERY);
  clock.nowMs += 300;
  quarantine.recordCrash(CRASH);
  t.equal(quarantine.permission(QUERY), "unrestricted");
  clock.nowMs += 3_000;
  quarantine.recordCrash(CRASH);
  t.equal(quarantine.permission(QUERY), "exclusive", "the answer is no longer recent");
});

t.test("only one box tries a query that has been suspected for some seconds", async (t) => {
  const trying = setUp();
  const other = setUp({ isTrialBox: false });
  for (const { clock, quarantine } of [trying, other]) {
    quarantine.recordCrash(CRASH);
    quarantine.recordCrash(CRASH);
    quarantine.recordCrash(CRASH);
    t.equal(quarantine.permission(QUERY), "exclusive", "at first any box may try");
    clock.nowMs += 2_000;
  }
  t.equal(trying.quarantine.permission(QUERY), "exclusive");
  t.equal(other.quarantine.permission(QUERY), "blocked");
  t.equal(other.quarantine.retryAfterMs(QUERY), 1_000);
});

t.test("a query with fewer than three crashes may be tried by any box at any time", async (t) => {
  const { clock, quarantine } = setUp({ isTrialBox: false });
  quarantine.recordCrash(CRASH);
  quarantine.recordFailedRequest(QUERY);
  clock.nowMs += 60_000;
  t.equal(quarantine.permission(QUERY), "exclusive");
  quarantine.recordAnswer(QUERY);
  t.equal(quarantine.permission(QUERY), "unrestricted");
});

t.test("a quarantined query is tried again after ten minutes", async (t) => {
  const { clock, quarantine } = setUp();
  quarantineQuery(quarantine);
  clock.nowMs += 600_000;
  t.equal(quarantine.permission(QUERY), "exclusive");
  quarantine.recordCrash(TRIAL_CRASH);
  t.equal(quarantine.permission(QUERY), "blocked");
  clock.nowMs += 600_000;
  quarantine.recordAnswer(QUERY);
  t.equal(quarantine.permission(QUERY), "unrestricted", "the trial was answered");
});

t.test(
  "the second crash, crashed trials and clearing are published immediately, other crashes are not",
  async (t) => {
    const { changes, quarantine } = setUp();
    for (let count = 0; count < 10; count++) {
      quarantine.recordCrash(CRASH);
    }
    quarantine.recordCrash(TRIAL_CRASH);
    quarantine.recordCrash(TRIAL_CRASH);
    quarantine.recordAnswer(QUERY);
    const published = changes.filter(({ publishNow }) => publishNow).map(({ record }) => record);
    t.same(
      published.map(({ standing, lostLeafs }) => `${standing} ${lostLeafs}`),
      ["suspected 2", "suspected 11", "quarantined 12", "cleared 0"],
    );
  },
);

t.test("neither a single crash nor its clearing is published", async (t) => {
  const { changes, quarantine } = setUp();
  quarantine.recordCrash(CRASH);
  t.same(quarantine.selectReports(8), []);
  quarantine.recordAnswer(QUERY);
  t.notOk(changes.some(({ publishNow }) => publishNow));
  t.same(quarantine.records(), []);
});

t.test("a single crash is published once the request has failed", async (t) => {
  const { changes, quarantine } = setUp();
  quarantine.recordFailedRequest(QUERY);
  t.same(changes, [], "no leaf crashed");
  quarantine.recordCrash(CRASH);
  quarantine.recordFailedRequest(QUERY);
  quarantine.recordFailedRequest(QUERY);
  t.equal(changes.filter(({ publishNow }) => publishNow).length, 1);
  t.match(quarantine.selectReports(8), [{ fingerprint: QUERY, lostLeafs: 1 }]);
});

t.test("a box that receives a report blocks the query", async (t) => {
  const one = setUp();
  const two = setUp({ isTrialBox: false });
  quarantineQuery(one.quarantine);
  one.clock.nowMs += 1_000;
  t.ok(two.quarantine.applyReports(one.quarantine.selectReports(8)));
  t.equal(two.quarantine.permission(QUERY), "blocked");
  t.equal(two.quarantine.retryAfterMs(QUERY), 599_000);
  t.notOk(two.quarantine.applyReports(one.quarantine.selectReports(8)), "nothing new");
});

t.test("a clearing takes precedence over an older report", async (t) => {
  const one = setUp();
  const two = setUp();
  one.quarantine.recordCrash(CRASH);
  one.quarantine.recordCrash(CRASH);
  const reports = one.quarantine.selectReports(8);
  two.quarantine.applyReports(reports);
  one.clock.nowMs += 100;
  two.clock.nowMs += 100;
  one.quarantine.recordAnswer(QUERY);
  two.quarantine.applyReports(one.quarantine.selectReports(8));
  t.equal(two.quarantine.permission(QUERY), "unrestricted");
  const outdated = reports.map((report) => ({ ...report, changedAgoMs: 150, suspectedAgoMs: 150 }));
  t.notOk(two.quarantine.applyReports(outdated));
  t.equal(two.quarantine.permission(QUERY), "unrestricted");
});

t.test(
  "a report of a recently answered query is rejected, and the clearing is published",
  async (t) => {
    const one = setUp();
    const two = setUp();
    one.quarantine.recordCrash(CRASH);
    one.quarantine.recordCrash(CRASH);
    two.quarantine.recordAnswer(QUERY);
    two.quarantine.applyReports(one.quarantine.selectReports(8));
    t.equal(two.quarantine.permission(QUERY), "unrestricted");
    t.same(
      two.changes.filter(({ publishNow }) => publishNow).map(({ record }) => record.standing),
      ["cleared"],
    );
    one.clock.nowMs += 1;
    t.ok(one.quarantine.applyReports(two.quarantine.selectReports(8)));
    t.equal(one.quarantine.permission(QUERY), "unrestricted");
  },
);

t.test("an operator clears a query", async (t) => {
  const { quarantine } = setUp();
  t.notOk(quarantine.clear(QUERY), "nothing to clear");
  quarantineQuery(quarantine);
  t.ok(quarantine.clear(QUERY));
  t.equal(quarantine.permission(QUERY), "unrestricted");
});

t.test("records are limited in number and age; quarantined ones are kept longest", async (t) => {
  const { clock, quarantine } = setUp();
  quarantineQuery(quarantine);
  for (let count = 0; count < 2_000; count++) {
    quarantine.recordCrash({ fingerprint: `other ${count}`, isTrial: false });
  }
  t.equal(quarantine.records().length, 512);
  t.equal(quarantine.permission(QUERY), "blocked");
  clock.nowMs += 700_000;
  t.equal(quarantine.records().length, 1, "suspected queries are dropped after ten minutes");
  clock.nowMs += 86_400_000;
  t.same(quarantine.records(), []);
});

t.test("records are published in limited batches that eventually cover all", async (t) => {
  const { quarantine } = setUp();
  for (let count = 0; count < 20; count++) {
    const crash = { fingerprint: `other ${count}`, isTrial: false };
    quarantine.recordCrash(crash);
    quarantine.recordCrash(crash);
  }
  const published = new Set<string>();
  for (let turn = 0; turn < 200; turn++) {
    const batch = quarantine.selectReports(8);
    t.ok(batch.length <= 8);
    for (const { fingerprint } of batch) {
      published.add(fingerprint);
    }
  }
  t.equal(published.size, 20);
});
