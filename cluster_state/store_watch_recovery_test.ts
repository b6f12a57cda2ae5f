// The store fell silent for 6 s. Each box noticed when its watch had run out, asked again while the
// store was still silent, and waited for that answer for another 6 s, although a store never answers
// after its return what it was asked before. It was back for 5.4 s when the boxes asked anew, and a
// route added 0.6 s after its return was not served in time. Seven boxes watched and all were equally
// late, as a change wakes all watches at once and they go on in step.
//
//   10.51  store: lost kind=config reason=Cannot reach the store: The operation was aborted due to timeout
//   11.47  the store takes versions 13 to 21 of the configuration
//   15.57  request: no route version=9
//   16.87  store: regained kind=config
//   16.87  configuration: in force version=32 before=9 source=store
//
// The length of a watch was reckoned as if the first change that matters came 4 s after the trouble's
// end and were due 3 s later. It comes at once and is due when the box must act in time again.

import { mock } from "node:test";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import t from "tap";
import { STORE_RESPONSE_TIMEOUT_MS, type StoreClient, type StoreError } from "../platform/mod.js";
import { StoreWatch, watchWaitMs } from "./store_watch.js";

type Store = Pick<StoreClient, "list" | "watch">;

/** Time that a box has to act on what it hears, beyond hearing it, in milliseconds. */
const ACT_MS = 300;

/** Step of the virtual time, in milliseconds. */
const STEP_MS = 50;

/** Trouble of the store: what is asked from its beginning to its end is never answered. */
interface Silence {
  readonly fromMs: number;
  readonly forMs: number;
  /** Whether also what was asked before is never answered, as when open connections go silent. */
  readonly losesAsked: boolean;
  /** Time from its end to a change, in milliseconds. */
  readonly changeAfterMs: number;
}

const TERMS = { recoveryDeadlineMs: 4_000, changeDeadlineMs: 3_000 } as const;
const LOST: StoreError = { kind: "unclear", message: "no answer" };

/** A store that goes by the virtual time, with one change after its silence. */
class SilentStore implements Store {
  nowMs = 0;
  readonly #silence: Silence;

  constructor(silence: Silence) {
    this.#silence = silence;
  }

  get endMs(): number {
    return this.#silence.fromMs + this.#silence.forMs;
  }

  get changeAtMs(): number {
    return this.endMs + this.#silence.changeAfterMs;
  }

  async list(): ReturnType<Store["list"]> {
    return ok({ objects: [], revision: 1 });
  }

  async watch(
    _kind: string,
    { waitMs, answerMs = STORE_RESPONSE_TIMEOUT_MS }: { waitMs: number; answerMs?: number },
  ): ReturnType<Store["watch"]> {
    const askedAtMs = this.nowMs;
    const { fromMs, losesAsked } = this.#silence;
    const isLost = askedAtMs < this.endMs && (losesAsked || askedAtMs >= fromMs);
    const answerAtMs = Math.max(askedAtMs, Math.min(askedAtMs + waitMs, this.changeAtMs));
    const isSilentThen = answerAtMs >= fromMs && answerAtMs < this.endMs;
    if (isLost || isSilentThen) {
      await pause(waitMs + answerMs);
      return err(LOST);
    }
    await pause(answerAtMs - askedAtMs);
    const changed = answerAtMs >= this.changeAtMs ? [{ name: "a", revision: 2, spec: {} }] : [];
    return ok({ changed, removed: [], revision: 1 + changed.length });
  }
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Runs a watch through a silence; tells by how much the change was heard too late, in milliseconds. */
async function lateByMs(silence: Silence): Promise<number> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const store = new SilentStore(silence);
  const dueAtMs = Math.max(
    store.changeAtMs + TERMS.changeDeadlineMs,
    store.endMs + TERMS.recoveryDeadlineMs,
  );
  let heardAtMs = Number.POSITIVE_INFINITY;
  const unused = (): void => undefined;
  const watch = new StoreWatch(
    { store, kind: "routes", waitMs: watchWaitMs(TERMS), mayBeStale: false },
    {
      ...{ onList: unused, onAnswer: unused, onFailed: unused },
      ...{ onHistoryCompacted: unused, onRecovered: unused },
      onChanges: () => {
        heardAtMs = Math.min(heardAtMs, store.nowMs);
      },
    },
  );
  const ended = watch.run();
  while (heardAtMs === Number.POSITIVE_INFINITY && store.nowMs < dueAtMs + 30_000) {
    store.nowMs += STEP_MS;
    mock.timers.tick(STEP_MS);
    await new Promise(setImmediate);
  }
  watch.stop();
  mock.timers.tick(60_000);
  await ended;
  mock.timers.reset();
  return heardAtMs + ACT_MS - dueAtMs;
}

/** Draws 150 cases; each must hear its change before it is due. */
async function checkAll(silences: fc.Arbitrary<Silence>, seed: number): Promise<void> {
  const isInTime = async (silence: Silence): Promise<boolean> => (await lateByMs(silence)) < 0;
  await fc.assert(fc.asyncProperty(silences, isInTime), { numRuns: 150, seed });
}

t.test("a change that comes with the end of trouble is heard before it is due", async (t) => {
  await t.test("as the store returns", async (t) => {
    const seen = { fromMs: 4_950, forMs: 6_500, losesAsked: false, changeAfterMs: 600 };
    t.ok((await lateByMs(seen)) < 0, "the silence that was seen");
    const silences = fc.record({
      fromMs: fc.integer({ min: 0, max: 12_000 }),
      forMs: fc.integer({ min: 100, max: 20_000 }),
      losesAsked: fc.constant(false),
      changeAfterMs: fc.integer({ min: 0, max: 4_000 }),
    });
    await checkAll(silences, 15_531);
  });

  await t.test("as open connections go silent", async (t) => {
    const seen = { fromMs: 13_950, forMs: 50, losesAsked: true, changeAfterMs: 250 };
    t.ok((await lateByMs(seen)) < 0, "just after a watch had begun");
    const silences = fc.record({
      fromMs: fc.integer({ min: 0, max: 12_000 }),
      forMs: fc.integer({ min: 0, max: 6_000 }),
      losesAsked: fc.constant(true),
      changeAfterMs: fc.integer({ min: 0, max: 4_000 }),
    });
    await checkAll(silences, 18_803);
  });
});
