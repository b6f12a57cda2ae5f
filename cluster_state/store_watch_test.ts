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

/** Runs a watch against scripted results and returns the calls and the reported events. */
async function runWatch(results: ReadonlyArray<Awaited<ReturnType<Store["watch"]>>>) {
  const calls: Array<string> = [];
  const events: Array<string> = [];
  const limits: Array<{ readonly waitMs: number; readonly answerMs: number | undefined }> = [];
  const remaining = [...results];
  const store: Store = {
    list: async (_kind, { mayBeStale }) => {
      calls.push(mayBeStale ? "stale list" : "list");
      return ok({ objects: [], revision: 7 });
    },
    watch: async (_kind, { sinceRevision, waitMs, answerMs }) => {
      calls.push(`watch ${sinceRevision}`);
      limits.push({ waitMs, answerMs });
      const next = remaining.shift();
      if (remaining.length === 0) {
        watch.stop();
      }
      return next ?? err({ kind: "unavailable", message: "no scripted result left" });
    },
  };
  const watch = new StoreWatch(
    { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
    {
      onList: () => events.push("list"),
      onChanges: ({ revision }) => events.push(`changes to ${revision}`),
      onAnswer: () => undefined,
      onHistoryCompacted: () => events.push("history compacted"),
      onFailed: ({ failures }) => events.push(failures === 1 ? "unreachable" : "still unreachable"),
      onRecovered: () => events.push("reachable again"),
    },
  );
  await watch.run();
  return { calls, events, limits };
}

const NO_CHANGES = ok({ changed: [], removed: [], revision: 9 });
const COMPACTED = err({ kind: "historyGone", message: "" } as const);
const UNAVAILABLE = err({ kind: "unavailable", message: "" } as const);
const CHANGE = ok({ changed: [{ name: "a", revision: 8, spec: {} }], removed: [], revision: 8 });

t.test("only the first list may be stale, not the one after a compaction", async (t) => {
  const { calls, events } = await runWatch([COMPACTED, NO_CHANGES]);
  t.same(calls, ["stale list", "watch 7", "list", "watch 7"]);
  t.same(events, ["list", "history compacted", "list"]);
});

t.test("changes are reported, and the watch continues from their revision", async (t) => {
  const { calls, events } = await runWatch([CHANGE, NO_CHANGES]);
  t.same(calls, ["stale list", "watch 7", "watch 8"]);
  t.same(events, ["list", "changes to 8"]);
});

t.test("a dropped watch connection is detected before a change must take effect", async (t) => {
  const ms = fc.integer({ min: 2_000, max: 40_000 });
  fc.assert(
    fc.property(ms, ms, (recoveryDeadlineMs, changeDeadlineMs) => {
      // The watch starts just before the drop, and the change happens just after it.
      const detectedAtMs =
        watchWaitMs({ recoveryDeadlineMs, changeDeadlineMs }) + WATCH_RESPONSE_TIMEOUT_MS;
      return detectedAtMs < Math.max(recoveryDeadlineMs, changeDeadlineMs);
    }),
  );
  t.equal(watchWaitMs({ recoveryDeadlineMs: 4_000, changeDeadlineMs: 3_000 }), 2_700);
});

t.test("an unreachable store is probed by short calls, and by a longer one at times", async (t) => {
  const { limits } = await runWatch([
    UNAVAILABLE,
    UNAVAILABLE,
    UNAVAILABLE,
    UNAVAILABLE,
    NO_CHANGES,
    NO_CHANGES,
  ]);
  const probe = { waitMs: 100, answerMs: 600 };
  const normal = { waitMs: 2_000, answerMs: WATCH_RESPONSE_TIMEOUT_MS };
  const longProbe = { waitMs: 100, answerMs: STORE_RESPONSE_TIMEOUT_MS - 100 };
  t.same(limits, [normal, probe, probe, longProbe, probe, normal]);
});

t.test("each failed call of an outage is reported, and its end once", async (t) => {
  const { events } = await runWatch([UNAVAILABLE, UNAVAILABLE, NO_CHANGES]);
  t.same(events, ["list", "unreachable", "still unreachable", "reachable again"]);
});

t.test("a paused watch makes no calls, and resumes from the given revision", async (t) => {
  const calls: Array<string> = [];
  const store: Store = {
    list: async () => {
      calls.push("list");
      return ok({ objects: [], revision: 7 });
    },
    watch: async (_kind, { sinceRevision }) => {
      calls.push(`watch ${sinceRevision}`);
      watch.stop();
      return NO_CHANGES;
    },
  };
  const ignore = (): void => undefined;
  const watch = new StoreWatch(
    { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
    {
      ...{ onList: ignore, onChanges: ignore, onAnswer: ignore },
      ...{ onHistoryCompacted: ignore, onFailed: ignore, onRecovered: ignore },
    },
  );
  watch.pause();
  const ended = watch.run();
  await new Promise((resolve) => setImmediate(resolve));
  t.same(calls, []);
  watch.resume(42);
  await ended;
  t.same(calls, ["watch 42"]);
});

t.test(
  "failed initial lists are retried with short timeouts, and a longer one at times",
  async (t) => {
    const timeoutsMs: Array<number | undefined> = [];
    const store: Store = {
      list: async (_kind, { answerMs }) => {
        timeoutsMs.push(answerMs);
        if (timeoutsMs.length === 5) {
          watch.stop();
        }
        return UNAVAILABLE;
      },
      watch: async () => NO_CHANGES,
    };
    const ignore = (): void => undefined;
    const watch = new StoreWatch(
      { store, kind: "leafs", waitMs: 2_000, mayBeStale: true },
      {
        ...{ onList: ignore, onChanges: ignore, onAnswer: ignore },
        ...{ onHistoryCompacted: ignore, onFailed: ignore, onRecovered: ignore },
      },
    );
    await watch.run();
    t.same(timeoutsMs, [700, 700, 700, STORE_RESPONSE_TIMEOUT_MS, 700]);
  },
);
