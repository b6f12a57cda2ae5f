/**
 * Runs the decisions of requests: calls, timers, replies.
 *
 * @module
 */
import { maxAnswerBytes, type OpenCall } from "../calls/mod.js";
import type { Step } from "../core/mod.js";
import type { Placement } from "../leafs/mod.js";
import {
  type AttemptOutcome,
  newRequest,
  type Reply,
  type RequestEffect,
  type RequestEvent,
  type RequestState,
  type RequestTerms,
  type RequestTimer,
  stepRequest,
} from "../request/mod.js";
import { RelayRequests } from "./_relay_requests.js";
import { RunEnvironment } from "./_run_environment.js";
import type { ForwardedRequest, RunnerOptions } from "./_runner_options.js";

/** One request to run. */
export interface RunOptions {
  readonly terms: RequestTerms;
  /** One service for each shard. */
  readonly services: ReadonlyArray<string>;
  readonly forwarded: ForwardedRequest;
  readonly placement: Placement;
  /** Told once, unless the caller goes. */
  readonly onReply: (reply: Reply, account: RequestSummary) => void;
  /** Told once when the caller goes before its answer. */
  readonly onCallerDisconnected: (account: RequestSummary) => void;
}

/** An attempt that was not plain: a second one, or one without a usable answer. */
export interface AttemptNote {
  /** Leaf or box that was asked. */
  readonly asked: string;
  /** Time from the request's arrival, in milliseconds. */
  readonly atMs: number;
  readonly what: string;
}

/** A request at its end, for logs. */
export interface RequestSummary {
  readonly state: RequestState;
  /** Attempts that were not plain, the earliest first. */
  readonly notes: ReadonlyArray<AttemptNote>;
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** Shards that no leaf could be asked for, by service, and what kept their leafs from it. */
  readonly blockedShards: ReadonlyMap<string, string>;
  /** Leafs whose connection ended under it before an answer. */
  readonly lostLeafs: number;
}

/** Notes of one request that are kept; a query over many shards may have very many. */
const MOST_NOTES = 40;

/** A request that is running. */
export interface RunningRequest {
  /** Moment at which its final answer is due. */
  readonly deadlineAtMs: number;
  /** Stops all work, since the caller has gone. */
  cancel(): void;
  /** Gives the final answer by what is known now, as at its deadline. */
  answerNow(): void;
}

/** Runs requests. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  readonly #running = new Set<RunningRequest>();

  /**
   * @param options - What the runner needs of its box.
   */
  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  /** Requests that have no answer yet. */
  get runningCount(): number {
    return this.#running.size;
  }

  /**
   * Gives all requests that run their final answers, as the process is about to end. A silent leaf may
   * hold some to their deadline; with the process their connections would end without an answer.
   *
   * @returns How many they were.
   */
  answerAll(): number {
    const open = [...this.#running];
    for (const request of open) {
      request.answerNow();
    }
    return open.length;
  }

  /**
   * Gives the requests whose deadline has passed their final answers. Timers stand still while the box is
   * suspended, and would let leafs work for callers that have gone.
   */
  answerOverdue(): void {
    for (const request of [...this.#running]) {
      if (request.deadlineAtMs <= this.#options.nowMs()) {
        request.answerNow();
      }
    }
  }

  /**
   * Starts a request.
   *
   * @param options - The request.
   * @returns The running request.
   */
  run(options: RunOptions): RunningRequest {
    for (const service of options.services) {
      this.#options.creditRequest(service);
    }
    const run = new Run(options, this.#options, () => this.#running.delete(run));
    this.#running.add(run);
    run.take({ kind: "started" });
    return run;
  }
}

type EffectRunners = {
  readonly [K in RequestEffect["kind"]]: (
    effect: Extract<RequestEffect, { readonly kind: K }>,
  ) => void;
};

type DirectCall = Pick<
  Extract<RequestEffect, { readonly kind: "call" }>,
  "attemptId" | "shardIndex" | "leafId" | "deadlineAtMs" | "isTrial"
>;

class Run implements RunningRequest {
  readonly #options: RunOptions;
  readonly #box: RunnerOptions;
  readonly #onDone: () => void;
  readonly #openCalls = new Map<number, OpenCall>();
  readonly #timers = new Map<RequestTimer, NodeJS.Timeout>();
  readonly #world: RunEnvironment;
  readonly #orders: RelayRequests;
  #notes: ReadonlyArray<AttemptNote> = [];
  #lostLeafs = 0;
  #state: RequestState;

  constructor(options: RunOptions, box: RunnerOptions, onDone: () => void) {
    this.#options = options;
    this.#box = box;
    this.#onDone = onDone;
    this.#state = newRequest(options.terms, options.services);
    const { nowMs, calls, quarantine, relays } = box;
    const { terms, forwarded, placement } = options;
    this.#world = new RunEnvironment(box, {
      ...forwarded,
      placement,
      objectiveMs: terms.objectiveAtMs - terms.arrivedAtMs,
    });
    this.#orders = new RelayRequests({
      ...{ nowMs, calls, quarantine, relays, terms, forwarded },
      chosenBox: (name) => this.#world.chosenBox(name),
      dispatch: (event) => this.take(event),
      addNote: (asked, what) => this.#note(asked, what),
      onOpen: (attemptId, call) => this.#openCalls.set(attemptId, call),
      onEnded: (attemptId) => this.#openCalls.delete(attemptId),
    });
  }

  get deadlineAtMs(): number {
    return this.#state.terms.deadlineAtMs;
  }

  cancel(): void {
    const wasDone = this.#state.done;
    const account = this.#account();
    this.take({ kind: "callerGone" });
    if (!wasDone) {
      this.#options.onCallerDisconnected(account);
    }
  }

  answerNow(): void {
    this.take({ kind: "timer", timer: "deadline" });
  }

  take(event: RequestEvent): void {
    const wasDone = this.#state.done;
    this.#world.nowMs = this.#box.nowMs();
    this.#world.eventLoopIdleMs = this.#box.eventLoopIdleMs();
    const next: Step<RequestState, RequestEffect> = stepRequest(this.#state, event, this.#world);
    this.#state = next.state;
    for (const effect of next.effects) {
      (this.#runners[effect.kind] as (effect: RequestEffect) => void)(effect);
    }
    if (!wasDone && this.#state.done) {
      this.#finish();
    }
  }

  readonly #runners: EffectRunners = {
    call: (effect) => {
      if ((this.#state.shards[effect.shardIndex]?.runs ?? 0) > 1) {
        this.#note(effect.leafId, "asked again");
      }
      this.#call(effect);
    },
    relay: (effect) => this.#orders.sendMerged(effect),
    askThrough: (effect) => this.#orders.sendSeparate(effect),
    abandon: ({ attemptId }) => this.#openCalls.get(attemptId)?.abandon(),
    withdraw: ({ attemptId }) => this.#openCalls.get(attemptId)?.withdraw(),
    wake: ({ timer, atMs }) => {
      const delayMs = Math.max(0, atMs - this.#box.nowMs());
      clearTimeout(this.#timers.get(timer));
      this.#timers.set(
        timer,
        setTimeout(() => this.take({ kind: "timer", timer }), delayMs),
      );
    },
    reply: ({ reply }) => this.#options.onReply(reply, this.#account()),
  };

  #account(): RequestSummary {
    const { fingerprint } = this.#options.forwarded;
    const { blockedShards: barred } = this.#world;
    const counted = { fingerprint, lostLeafs: this.#lostLeafs };
    return { state: this.#state, notes: this.#notes, blockedShards: barred, ...counted };
  }

  #note(asked: string, what: string): void {
    if (this.#notes.length < MOST_NOTES) {
      const atMs = Math.round(this.#box.nowMs() - this.#options.terms.arrivedAtMs);
      this.#notes = [...this.#notes, { asked, atMs, what }];
    }
  }

  #call({ attemptId, shardIndex, leafId, deadlineAtMs, isTrial }: DirectCall): void {
    const leaf = this.#box.leafs().byId.get(leafId);
    if (leaf === undefined) {
      if (isTrial) {
        this.#box.quarantine.endTrial(this.#options.forwarded.fingerprint);
      }
      const outcome = { kind: "failed", sent: false, reason: "leaf is gone" } as const;
      queueMicrotask(() => this.take({ kind: "attemptEnded", attemptId, shardIndex, outcome }));
      return;
    }
    const { requestId, route } = this.#options.terms;
    const { repeatable } = route;
    const maxBytes = maxAnswerBytes(this.#options.services.length);
    const terms = { repeatable, deadlineAtMs, isTrial, maxBytes: maxBytes };
    const call = { leaf, requestId, ...this.#options.forwarded, ...terms };
    const open = this.#box.calls.send(call, (outcome) => {
      this.#openCalls.delete(attemptId);
      this.#noteEnd(leafId, outcome);
      this.take({ kind: "attemptEnded", attemptId, shardIndex, outcome });
    });
    this.#openCalls.set(attemptId, open);
  }

  #noteEnd(asked: string, outcome: AttemptOutcome): void {
    if (outcome.kind === "failed" && outcome.connectionClosed === true) {
      this.#lostLeafs += 1;
    }
    if (outcome.kind !== "answered") {
      this.#note(asked, `${outcome.kind}: ${outcome.reason}`);
    } else if (outcome.answer.statusCode >= 300) {
      this.#note(asked, `status ${outcome.answer.statusCode}`);
    }
  }

  #finish(): void {
    for (const timer of this.#timers.values()) {
      clearTimeout(timer);
    }
    if (this.#state.partsIn === 0) {
      this.#box.quarantine.recordFailedRequest(this.#options.forwarded.fingerprint);
    }
    this.#onDone();
  }
}
