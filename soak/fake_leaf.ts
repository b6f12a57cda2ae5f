/**
 * A leaf in virtual time that records the calls it runs.
 *
 * @module
 */
import type { Dispatch, LeafOutcome, LeafSignal } from "../pool/mod.js";
import type { Schedule } from "../virtual_time/mod.js";

/** A call that a leaf ran. */
export interface FakeRun {
  readonly leafId: string;
  readonly mark: string;
  readonly shard: string;
  readonly snapshot: string;
  readonly atMs: number;
}

/** Response of a leaf to a call, with the state that it signals. */
export interface FakeAnswer {
  readonly outcome: LeafOutcome;
  readonly signal: LeafSignal | undefined;
}

interface RunningCall {
  readonly cancel: () => void;
}

/** A simulated leaf. */
export class FakeLeaf {
  readonly leafId: string;
  readonly #schedule: Schedule;
  readonly #slots: number;
  readonly #runs: Array<FakeRun>;
  readonly #running = new Map<string, RunningCall>();
  #inFlight = 0;
  #queue: Array<{
    readonly callId: string;
    readonly start: () => void;
    readonly cancel: () => void;
  }> = [];
  /** Shards that the leaf serves, by snapshot. */
  shardsBySnapshot: ReadonlyMap<string, ReadonlySet<string>> = new Map();
  state: LeafSignal = "ready";
  /** Time at which the leaf began to signal that it leaves; infinite if it does not. */
  leavingSinceMs = Number.POSITIVE_INFINITY;
  isDown = false;
  misbehaviour: "none" | "other snapshot" | "other shard" | "empty" | "garbage" = "none";
  slowFactor = 1;

  /**
   * @param leafId - Id of the leaf.
   * @param options - Number of slots, virtual time, and the list to which calls that run are added.
   */
  constructor(
    leafId: string,
    options: { readonly slots: number; readonly schedule: Schedule; readonly runs: Array<FakeRun> },
  ) {
    this.leafId = leafId;
    this.#schedule = options.schedule;
    this.#slots = options.slots;
    this.#runs = options.runs;
  }

  /**
   * Runs a call when a slot is free, or refuses it.
   *
   * @param callId - Id of the call, by which it can be cancelled.
   * @param dispatch - The call.
   * @param onAnswer - Called exactly once, with the response.
   */
  handleCall(callId: string, dispatch: Dispatch, onAnswer: (answer: FakeAnswer) => void): void {
    const refusal = this.#refusal(dispatch);
    if (refusal !== undefined) {
      onAnswer({
        outcome: { kind: "refused", reason: refusal, retryAfterMs: 5 },
        signal: this.state,
      });
      return;
    }
    this.#queue.push({
      callId,
      start: () => this.#run(callId, dispatch, onAnswer),
      cancel: () =>
        onAnswer({
          outcome: { kind: "refused", reason: "caller gone", retryAfterMs: 0 },
          signal: this.state,
        }),
    });
    this.#runNext();
  }

  #refusal({ snapshot, shard }: Dispatch) {
    if (this.state !== "ready") {
      return "leaving" as const;
    }
    const shards = this.shardsBySnapshot.get(snapshot);
    if (shards === undefined) {
      return "wrong snapshot" as const;
    }
    return shards.has(shard) ? undefined : ("not held" as const);
  }

  #runNext(): void {
    while (this.#inFlight < this.#slots) {
      const next = this.#queue.shift();
      if (next === undefined) {
        return;
      }
      next.start();
    }
  }

  #run(callId: string, dispatch: Dispatch, onAnswer: (answer: FakeAnswer) => void): void {
    const { snapshot, shard, bodyJson } = dispatch;
    const { mark } = JSON.parse(bodyJson) as { readonly mark: string };
    const atMs = this.#schedule.nowMs;
    this.#runs.push({ leafId: this.leafId, mark, shard, snapshot, atMs });
    this.#inFlight += 1;
    let finished = false;
    const finish = (answer: FakeAnswer): void => {
      if (!finished) {
        finished = true;
        this.#inFlight -= 1;
        this.#running.delete(callId);
        onAnswer(answer);
        this.#runNext();
      }
    };
    this.#running.set(callId, {
      cancel: () =>
        finish({
          outcome: { kind: "failed", reason: "leaf failed", notSent: false },
          signal: this.state,
        }),
    });
    const stragglerFactor = this.#schedule.chance(0.01) ? 20 : 1;
    const tookMs = this.#schedule.int(2, 8) * stragglerFactor * this.slowFactor;
    this.#schedule.after(tookMs, () => finish(this.#answer(dispatch, mark)));
  }

  #answer(dispatch: Dispatch, mark: string): FakeAnswer {
    const { rights } = dispatch;
    const misbehaviours = { snapshot: "other snapshot", shard: "other shard" } as const;
    const snapshot = `${dispatch.snapshot}${this.misbehaviour === misbehaviours.snapshot ? "x" : ""}`;
    const shard = `${dispatch.shard}${this.misbehaviour === misbehaviours.shard ? "x" : ""}`;
    const rows = [0, 1].map((index) => ({ index, snapshot, shard, mark, rights }));
    const answered = {
      kind: "answered",
      snapshot,
      shard,
      rowCount: rows.length,
      rowsJson: JSON.stringify(rows),
    } as const;
    const invalidRows: Readonly<Record<string, string>> = { empty: "[]", garbage: "[{" };
    const rowsJson = invalidRows[this.misbehaviour] ?? answered.rowsJson;
    return { outcome: { ...answered, rowsJson }, signal: this.state };
  }

  /**
   * Cancels a call: a queued call is not run, a running one fails.
   *
   * @param callId - Id of the call.
   */
  cancel(callId: string): void {
    const queued = this.#queue.find((each) => each.callId === callId);
    if (queued !== undefined) {
      this.#queue = this.#queue.filter((each) => each !== queued);
      queued.cancel();
    }
    this.#running.get(callId)?.cancel();
  }
}
