import t from "tap";
import { LeafChangeLog } from "./leaf_change_log.js";

t.test("since() tells what has changed and what has gone after a revision", async (t) => {
  const news = new LeafChangeLog();
  news.reset(10);
  news.record({ changed: ["a", "b"], removed: [], revision: 11 });
  news.record({ changed: ["c"], removed: ["a"], revision: 12 });
  t.same(news.since(10), { changed: ["b", "c"], removed: ["a"] });
  t.same(news.since(11), { changed: ["c"], removed: ["a"] });
  t.same(news.since(12), { changed: [], removed: [] });
  news.record({ changed: ["a"], removed: [], revision: 13 });
  t.same(news.since(11), { changed: ["c", "a"], removed: [] });
});

t.test("since() is nothing before the first list and for what came before it", async (t) => {
  const news = new LeafChangeLog();
  t.equal(news.since(0), undefined);
  news.reset(10);
  t.equal(news.since(9), undefined);
});

t.test("removals are forgotten at last, and who is behind them is handed all", async (t) => {
  const news = new LeafChangeLog();
  news.reset(0);
  for (let revision = 1; revision <= 600; revision++) {
    news.record({ changed: [], removed: [`i-${revision}`], revision });
  }
  t.equal(news.since(99), undefined);
  t.equal(news.since(100)?.removed.length, 500);
});
