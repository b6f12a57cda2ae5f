import t from "tap";
import { LeafChangeLog } from "./leaf_change_log.js";

t.test("since() returns the changes and removals after a revision", async (t) => {
  const changeLog = new LeafChangeLog();
  changeLog.reset(10);
  changeLog.record({ changed: ["a", "b"], removed: [], revision: 11 });
  changeLog.record({ changed: ["c"], removed: ["a"], revision: 12 });
  t.same(changeLog.since(10), { changed: ["b", "c"], removed: ["a"] });
  t.same(changeLog.since(11), { changed: ["c"], removed: ["a"] });
  t.same(changeLog.since(12), { changed: [], removed: [] });
  changeLog.record({ changed: ["a"], removed: [], revision: 13 });
  t.same(changeLog.since(11), { changed: ["c", "a"], removed: [] });
});

t.test("since() returns undefined before the first list and for earlier revisions", async (t) => {
  const changeLog = new LeafChangeLog();
  t.equal(changeLog.since(0), undefined);
  changeLog.reset(10);
  t.equal(changeLog.since(9), undefined);
});

t.test("since() returns undefined for revisions whose removals were discarded", async (t) => {
  const changeLog = new LeafChangeLog();
  changeLog.reset(0);
  for (let revision = 1; revision <= 600; revision++) {
    changeLog.record({ changed: [], removed: [`i-${revision}`], revision });
  }
  t.equal(changeLog.since(99), undefined);
  t.equal(changeLog.since(100)?.removed.length, 500);
});
