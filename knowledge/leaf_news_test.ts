import t from "tap";
import { LeafNews } from "./leaf_news.js";

t.test("since() tells what has changed and what has gone after a revision", async (t) => {
  const news = new LeafNews();
  news.restart(10);
  news.note({ changed: ["a", "b"], removed: [], revision: 11 });
  news.note({ changed: ["c"], removed: ["a"], revision: 12 });
  t.same(news.since(10), { changed: ["b", "c"], removed: ["a"] });
  t.same(news.since(11), { changed: ["c"], removed: ["a"] });
  t.same(news.since(12), { changed: [], removed: [] });
  news.note({ changed: ["a"], removed: [], revision: 13 });
  t.same(news.since(11), { changed: ["c", "a"], removed: [] });
});

t.test("since() is nothing before the first list and for what came before it", async (t) => {
  const news = new LeafNews();
  t.equal(news.since(0), undefined);
  news.restart(10);
  t.equal(news.since(9), undefined);
});

t.test("removals are forgotten at last, and who is behind them is handed all", async (t) => {
  const news = new LeafNews();
  news.restart(0);
  for (let revision = 1; revision <= 600; revision++) {
    news.note({ changed: [], removed: [`i-${revision}`], revision });
  }
  t.equal(news.since(99), undefined);
  t.equal(news.since(100)?.removed.length, 500);
});
