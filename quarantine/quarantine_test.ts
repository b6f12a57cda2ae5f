import t from "tap";
import { Quarantine, type QuarantineChange } from "./quarantine.js";

const QUERY = "query";
const LOST = { fingerprint: QUERY, isTrial: false } as const;
const LOST_TRIAL = { fingerprint: QUERY, isTrial: true } as const;

/** One box's quarantine on a clock that the test moves. */
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

/** Loses leafs under the query until it is not sent any more. */
function condemn(quarantine: Quarantine): void {
  quarantine.recordCrash(LOST);
  quarantine.recordCrash(LOST_TRIAL);
  quarantine.recordCrash(LOST_TRIAL);
}

t.test("a query that no leaf was lost under is sent freely", async (t) => {
  t.equal(setUp().quarantine.permission(QUERY), "unrestricted");
});

t.test("after a lost leaf a query is sent one call at a time", async (t) => {
  const { quarantine } = setUp();
  quarantine.recordCrash(LOST);
  t.equal(quarantine.permission(QUERY), "exclusive");
  t.equal(quarantine.permission("another"), "unrestricted");
  quarantine.beginTrial(QUERY);
  t.equal(quarantine.permission(QUERY), "deferred");
  quarantine.endTrial(QUERY);
  t.equal(quarantine.permission(QUERY), "exclusive");
});

t.test("an answer clears a suspect", async (t) => {
  const { quarantine } = setUp();
  quarantine.recordCrash(LOST);
  quarantine.recordCrash(LOST_TRIAL);
  quarantine.recordAnswer(QUERY);
  t.equal(quarantine.permission(QUERY), "unrestricted");
});

t.test("many lost leafs alone quarantine nothing: a rack may have lost its power", async (t) => {
  const { quarantine } = setUp();
  for (let count = 0; count < 40; count++) {
    quarantine.recordCrash(LOST);
  }
  t.equal(quarantine.permission(QUERY), "exclusive");
});

t.test("two lost trials quarantine a query, and it says when to come back", async (t) => {
  const { clock, quarantine } = setUp();
  condemn(quarantine);
  t.equal(quarantine.permission(QUERY), "blocked");
  t.equal(quarantine.retryAfterMs(QUERY), 600_000);
  clock.nowMs += 100_000;
  t.equal(quarantine.retryAfterMs(QUERY), 500_000);
});

t.test("a leaf lost while others answer is not held against the query", async (t) => {
  const { clock, quarantine } = setUp();
  quarantine.recordAnswer(QUERY);
  clock.nowMs += 300;
  quarantine.recordCrash(LOST);
  t.equal(quarantine.permission(QUERY), "unrestricted");
  clock.nowMs += 3_000;
  quarantine.recordCrash(LOST);
  t.equal(quarantine.permission(QUERY), "exclusive", "an answer of three seconds ago says nothing");
});

t.test("a suspect of some seconds is tried by one box alone", async (t) => {
  const trying = setUp();
  const other = setUp({ isTrialBox: false });
  for (const { clock, quarantine } of [trying, other]) {
    quarantine.recordCrash(LOST);
    quarantine.recordCrash(LOST);
    quarantine.recordCrash(LOST);
    t.equal(quarantine.permission(QUERY), "exclusive", "at first each box may try");
    clock.nowMs += 2_000;
  }
  t.equal(trying.quarantine.permission(QUERY), "exclusive");
  t.equal(other.quarantine.permission(QUERY), "blocked");
  t.equal(other.quarantine.retryAfterMs(QUERY), 1_000);
});

t.test(
  "a query that lost one or two leafs is tried by any box that is asked, at any time",
  async (t) => {
    const { clock, quarantine } = setUp({ isTrialBox: false });
    quarantine.recordCrash(LOST);
    quarantine.recordFailedRequest(QUERY);
    clock.nowMs += 60_000;
    t.equal(quarantine.permission(QUERY), "exclusive");
    quarantine.recordAnswer(QUERY);
    t.equal(quarantine.permission(QUERY), "unrestricted");
  },
);

t.test("a quarantined query is tried again after ten minutes, by one box, once", async (t) => {
  const { clock, quarantine } = setUp();
  condemn(quarantine);
  clock.nowMs += 600_000;
  t.equal(quarantine.permission(QUERY), "exclusive");
  quarantine.recordCrash(LOST_TRIAL);
  t.equal(quarantine.permission(QUERY), "blocked");
  clock.nowMs += 600_000;
  quarantine.recordAnswer(QUERY);
  t.equal(quarantine.permission(QUERY), "unrestricted", "mended meanwhile");
});

t.test(
  "other boxes are told of the second loss, of trials and of a clearing, not of each loss",
  async (t) => {
    const { changes, quarantine } = setUp();
    for (let count = 0; count < 10; count++) {
      quarantine.recordCrash(LOST);
    }
    quarantine.recordCrash(LOST_TRIAL);
    quarantine.recordCrash(LOST_TRIAL);
    quarantine.recordAnswer(QUERY);
    const told = changes.filter(({ publishNow: isNews }) => isNews).map(({ record }) => record);
    t.same(
      told.map(({ standing, lostLeafs }) => `${standing} ${lostLeafs}`),
      ["suspected 2", "suspected 11", "quarantined 12", "cleared 0"],
    );
  },
);

t.test("a single loss is not told, nor that it was cleared", async (t) => {
  const { changes, quarantine } = setUp();
  quarantine.recordCrash(LOST);
  t.same(quarantine.selectReports(8), []);
  quarantine.recordAnswer(QUERY);
  t.notOk(changes.some(({ publishNow: isNews }) => isNews));
  t.same(quarantine.records(), []);
});

t.test("a single loss is told once the request has ended without an answer", async (t) => {
  const { changes, quarantine } = setUp();
  quarantine.recordFailedRequest(QUERY);
  t.same(changes, [], "no leaf was lost under it");
  quarantine.recordCrash(LOST);
  quarantine.recordFailedRequest(QUERY);
  quarantine.recordFailedRequest(QUERY);
  t.equal(changes.filter(({ publishNow: isNews }) => isNews).length, 1);
  t.match(quarantine.selectReports(8), [{ fingerprint: QUERY, lostLeafs: 1 }]);
});

t.test("a box that is told holds the query from then on", async (t) => {
  const one = setUp();
  const two = setUp({ isTrialBox: false });
  condemn(one.quarantine);
  one.clock.nowMs += 1_000;
  t.ok(two.quarantine.applyReports(one.quarantine.selectReports(8)));
  t.equal(two.quarantine.permission(QUERY), "blocked");
  t.equal(two.quarantine.retryAfterMs(QUERY), 599_000);
  t.notOk(two.quarantine.applyReports(one.quarantine.selectReports(8)), "nothing new");
});

t.test("a clearing holds against older news of the suspicion", async (t) => {
  const one = setUp();
  const two = setUp();
  one.quarantine.recordCrash(LOST);
  one.quarantine.recordCrash(LOST);
  const suspicion = one.quarantine.selectReports(8);
  two.quarantine.applyReports(suspicion);
  one.clock.nowMs += 100;
  two.clock.nowMs += 100;
  one.quarantine.recordAnswer(QUERY);
  two.quarantine.applyReports(one.quarantine.selectReports(8));
  t.equal(two.quarantine.permission(QUERY), "unrestricted");
  const old = suspicion.map((told) => ({ ...told, changedAgoMs: 150, suspectedAgoMs: 150 }));
  t.notOk(two.quarantine.applyReports(old));
  t.equal(two.quarantine.permission(QUERY), "unrestricted");
});

t.test(
  "a suspicion of a query that was answered here of late is turned down, and the others told",
  async (t) => {
    const one = setUp();
    const two = setUp();
    one.quarantine.recordCrash(LOST);
    one.quarantine.recordCrash(LOST);
    two.quarantine.recordAnswer(QUERY);
    two.quarantine.applyReports(one.quarantine.selectReports(8));
    t.equal(two.quarantine.permission(QUERY), "unrestricted");
    t.same(
      two.changes.filter(({ publishNow: isNews }) => isNews).map(({ record }) => record.standing),
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
  condemn(quarantine);
  t.ok(quarantine.clear(QUERY));
  t.equal(quarantine.permission(QUERY), "unrestricted");
});

t.test("records are bounded in number and age; proved ones are kept longest", async (t) => {
  const { clock, quarantine } = setUp();
  condemn(quarantine);
  for (let count = 0; count < 2_000; count++) {
    quarantine.recordCrash({ fingerprint: `other ${count}`, isTrial: false });
  }
  t.equal(quarantine.records().length, 512);
  t.equal(quarantine.permission(QUERY), "blocked");
  clock.nowMs += 700_000;
  t.equal(quarantine.records().length, 1, "suspects are dropped after ten minutes");
  clock.nowMs += 86_400_000;
  t.same(quarantine.records(), []);
});

t.test("no more queries are told at a time than fit, and all in turn", async (t) => {
  const { quarantine } = setUp();
  for (let count = 0; count < 20; count++) {
    const lost = { fingerprint: `other ${count}`, isTrial: false };
    quarantine.recordCrash(lost);
    quarantine.recordCrash(lost);
  }
  const told = new Set<string>();
  for (let turn = 0; turn < 200; turn++) {
    const now = quarantine.selectReports(8);
    t.ok(now.length <= 8);
    for (const { fingerprint } of now) {
      told.add(fingerprint);
    }
  }
  t.equal(told.size, 20);
});
