// After an outage, a change must be received before it must take effect, also if calls made during
// the outage are never answered.

import { mock } from "node:test";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import t from "tap";
import { STORE_RESPONSE_TIMEOUT_MS, type StoreClient, type StoreError } from "../platform/mod.js";
import { StoreWatch, watchWaitMs } from "./store_watch.js";

type Store = Pick<StoreClient, "list" | "watch">;

/** Time in which a box applies a received change, in milliseconds. */
const APPLY_MS = 300;

/** Step of virtual time, in milliseconds. */
const STEP_MS = 50;

/** Outage of the store: calls made during it are never answered. */
interface Outage {
  readonly fromMs: number;
  readonly forMs: number;
  /** Whether earlier calls are never answered either, as when open connections are dropped. */
  readonly dropsOpenCalls: boolean;
  /** Time from the end of the outage to a change, in milliseconds. */
  readonly changeAfterMs: number;
}

const TERMS = { recoveryDeadlineMs: 4_000, changeDeadlineMs: 3_000 } as const;
const NO_ANSWER: StoreError = { kind: "unclear", message: "no answer" };

/** Store on virtual time with an outage, followed by one change. */
class UnresponsiveStore implements Store {
  nowMs = 0;
  readonly #outage: Outage;

  constructor(outage: Outage) {
    this.#outage = outage;
  }

  get endMs(): number {
    return this.#outage.fromMs + this.#outage.forMs;
  }

  get changeAtMs(): number {
    return this.endMs + this.#outage.changeAfterMs;
  }

  async list(): ReturnType<Store["list"]> {
    return ok({ objects: [], revision: 1 });
  }

  async watch(
    _kind: string,
    { waitMs, answerMs = STORE_RESPONSE_TIMEOUT_MS }: { waitMs: number; answerMs?: number },
  ): ReturnType<Store["watch"]> {
    const calledAtMs = this.nowMs;
    const { fromMs, dropsOpenCalls } = this.#outage;
    const isCallDropped = calledAtMs < this.endMs && (dropsOpenCalls || calledAtMs >= fromMs);
    const answerAtMs = Math.max(calledAtMs, Math.min(calledAtMs + waitMs, this.changeAtMs));
    const isAnswerDropped = answerAtMs >= fromMs && answerAtMs < this.endMs;
    if (isCallDropped || isAnswerDropped) {
      await delay(waitMs + answerMs);
      return err(NO_ANSWER);
    }
    await delay(answerAtMs - calledAtMs);
    const changed = answerAtMs >= this.changeAtMs ? [{ name: "a", revision: 2, spec: {} }] : [];
    return ok({ changed, removed: [], revision: 1 + changed.length });
  }
}

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/**
 * Runs a watch through an outage and returns how late the change takes effect, in milliseconds;
 * negative if in time.
 */
async function delayPastDueMs(outage: Outage): Promise<number> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const store = new UnresponsiveStore(outage);
  const dueAtMs = Math.max(
    store.changeAtMs + TERMS.changeDeadlineMs,
    store.endMs + TERMS.recoveryDeadlineMs,
  );
  let receivedAtMs = Number.POSITIVE_INFINITY;
  const unused = (): void => undefined;
  const watch = new StoreWatch(
    { store, kind: "routes", waitMs: watchWaitMs(TERMS), mayBeStale: false },
    {
      ...{ onList: unused, onAnswer: unused, onFailed: unused },
      ...{ onHistoryCompacted: unused, onRecovered: unused },
      onChanges: () => {
        receivedAtMs = Math.min(receivedAtMs, store.nowMs);
      },
    },
  );
  const ended = watch.run();
  while (receivedAtMs === Number.POSITIVE_INFINITY && store.nowMs < dueAtMs + 30_000) {
    store.nowMs += STEP_MS;
    mock.timers.tick(STEP_MS);
    await new Promise(setImmediate);
  }
  watch.stop();
  mock.timers.tick(60_000);
  await ended;
  mock.timers.reset();
  return receivedAtMs + APPLY_MS - dueAtMs;
}

/** Checks that the change takes effect in time for 150 random outages. */
async function checkAll(outages: fc.Arbitrary<Outage>, seed: number): Promise<void> {
  const isInTime = async (outage: Outage): Promise<boolean> => (await delayPastDueMs(outage)) < 0;
  await fc.assert(fc.asyncProperty(outages, isInTime), { numRuns: 150, seed });
}

t.test("a change after an outage is received before it must take effect", async (t) => {
  await t.test("after an outage of the store", async (t) => {
    const knownOutage = { fromMs: 4_950, forMs: 6_500, dropsOpenCalls: false, changeAfterMs: 600 };
    t.ok((await delayPastDueMs(knownOutage)) < 0, "a known outage");
    const outages = fc.record({
      fromMs: fc.integer({ min: 0, max: 12_000 }),
      forMs: fc.integer({ min: 100, max: 20_000 }),
      dropsOpenCalls: fc.constant(false),
      changeAfterMs: fc.integer({ min: 0, max: 4_000 }),
    });
    await checkAll(outages, 15_531);
  });

  await t.test("after open connections are dropped", async (t) => {
    const knownOutage = { fromMs: 13_950, forMs: 50, dropsOpenCalls: true, changeAfterMs: 250 };
    t.ok((await delayPastDueMs(knownOutage)) < 0, "just after the start of a watch");
    const outages = fc.record({
      fromMs: fc.integer({ min: 0, max: 12_000 }),
      forMs: fc.integer({ min: 0, max: 6_000 }),
      dropsOpenCalls: fc.constant(true),
      changeAfterMs: fc.integer({ min: 0, max: 4_000 }),
    });
    await checkAll(outages, 18_803);
  });
});
