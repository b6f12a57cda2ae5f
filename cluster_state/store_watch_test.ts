import fc from "fast-check";
import { err, ok } from "neverthrow";
import t from "tap";
import {
  STORE_RESPONSE_TIMEOUT_MS,
  type StoreClient,
  WATCH_RESPONSE_TIMEOUT_MS,
} from "../platform/mod.js";
import { StoreWatch, watchWaitMs } from "./store_watch.js";

type Store = Pick<StoreClient, "list" | "watch">;

/** Runs a watch against scripted watch results and tells what was called and heard. */
async function runWatch(results: ReadonlyArray<Awaited<ReturnType<Store["watch"]>>>) {
  const calls: Array<string> = [];
  const heard: Array<string> = [];
  const waited: Array<{ readonly waitMs: number; readonly answerMs: number | undefined }> = [];
  const left = [...results];
  const store: Store = {
    list: async (_kind, { mayBeStale }) => {
      calls.push(mayBeStale ? "stale list" : "list");
      return ok({ objects: [], revision: 7 });
    },
    watch: async (_kind, { sinceRevision, waitMs, answerMs }) => {
      calls.push(`watch ${sinceRevision}`);
      waited.push({ waitMs, answerMs });
      const next = left.shift();
      if (left.length === 0) {
        watch.stop();
      }
      return next ?? err({ kind: "unavailable", message: "the script has ended" });
    },
  };
  const watch = new StoreWatch(
    { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
    {
      onList: () => heard.push("list"),
      onChanges: ({ revision }) => heard.push(`changes to ${revision}`),
      onAnswer: () => undefined,
      onHistoryCompacted: () => heard.push("history gone"),
      onFailed: ({ failures }) => heard.push(failures === 1 ? "lost" : "not heard"),
      onRecovered: () => heard.push("regained"),
    },
  );
  await watch.run();
  return { calls, heard, waited };
}

const NOTHING = ok({ changed: [], removed: [], revision: 9 });
const GONE = err({ kind: "historyGone", message: "" } as const);
const DOWN = err({ kind: "unavailable", message: "" } as const);
const CHANGE = ok({ changed: [{ name: "a", revision: 8, spec: {} }], removed: [], revision: 8 });

t.test("only the first list may be stale: after a lost history it hides nothing", async (t) => {
  const { calls, heard } = await runWatch([GONE, NOTHING]);
  t.same(calls, ["stale list", "watch 7", "list", "watch 7"]);
  t.same(heard, ["list", "history gone", "list"]);
});

t.test("changes are told and the watch goes on from their revision", async (t) => {
  const { calls, heard } = await runWatch([CHANGE, NOTHING]);
  t.same(calls, ["stale list", "watch 7", "watch 8"]);
  t.same(heard, ["list", "changes to 8"]);
});

t.test("a watch whose connection goes silent is noticed before a change is due", async (t) => {
  const ms = fc.integer({ min: 2_000, max: 40_000 });
  fc.assert(
    fc.property(ms, ms, (soundAfterMs, newsDueMs) => {
      // It begins just before the silence, and the change comes just after.
      const noticedAtMs =
        watchWaitMs({ recoveryDeadlineMs: soundAfterMs, changeDeadlineMs: newsDueMs }) +
        WATCH_RESPONSE_TIMEOUT_MS;
      return noticedAtMs < Math.max(soundAfterMs, newsDueMs);
    }),
  );
  t.equal(watchWaitMs({ recoveryDeadlineMs: 4_000, changeDeadlineMs: 3_000 }), 2_700);
});

t.test("a lost store is looked for by short calls, and now and then with more time", async (t) => {
  const { waited } = await runWatch([DOWN, DOWN, DOWN, DOWN, NOTHING, NOTHING]);
  const look = { waitMs: 100, answerMs: 600 };
  const usual = { waitMs: 2_000, answerMs: WATCH_RESPONSE_TIMEOUT_MS };
  const long = { waitMs: 100, answerMs: STORE_RESPONSE_TIMEOUT_MS - 100 };
  t.same(waited, [usual, look, look, long, look, usual]);
});

t.test("each failed call of an outage is told, and its end once", async (t) => {
  const { heard } = await runWatch([DOWN, DOWN, NOTHING]);
  t.same(heard, ["list", "lost", "not heard", "regained"]);
});

t.test(
  "a watch that is paused makes no call, and goes on from what was learnt meanwhile",
  async (t) => {
    const calls: Array<string> = [];
    const store: Store = {
      list: async () => {
        calls.push("list");
        return ok({ objects: [], revision: 7 });
      },
      watch: async (_kind, { sinceRevision }) => {
        calls.push(`watch ${sinceRevision}`);
        watch.stop();
        return NOTHING;
      },
    };
    const silent = (): void => undefined;
    const watch = new StoreWatch(
      { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
      {
        ...{ onList: silent, onChanges: silent, onAnswer: silent },
        ...{ onHistoryCompacted: silent, onFailed: silent, onRecovered: silent },
      },
    );
    watch.pause();
    const ended = watch.run();
    await new Promise((resolve) => setImmediate(resolve));
    t.same(calls, []);
    watch.resume(42);
    await ended;
    t.same(calls, ["watch 42"]);
  },
);

t.test("a box that knows nothing yet lists often, and now and then with more time", async (t) => {
  const answersMs: Array<number | undefined> = [];
  const store: Store = {
    list: async (_kind, { answerMs }) => {
      answersMs.push(answerMs);
      if (answersMs.length === 5) {
        watch.stop();
      }
      return DOWN;
    },
    watch: async () => NOTHING,
  };
  const silent = (): void => undefined;
  const watch = new StoreWatch(
    { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
    {
      ...{ onList: silent, onChanges: silent, onAnswer: silent },
      ...{ onHistoryCompacted: silent, onFailed: silent, onRecovered: silent },
    },
  );
  await watch.run();
  t.same(answersMs, [700, 700, 700, STORE_RESPONSE_TIMEOUT_MS, 700]);
});
