/**
 * Runs requests: executes the calls, timers and replies that the request state machine decides on.
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
import { RunContext } from "./_run_context.js";
import type { ForwardedRequest, RunnerOptions } from "./_runner_options.js";

/** One request to run. */
export interface RunOptions {
  readonly terms: RequestTerms;
  /** One service for each shard. */
  readonly services: ReadonlyArray<string>;
  readonly forwarded: ForwardedRequest;
  readonly placement: Placement;
  /** Called once with the reply, unless the caller disconnects first. */
  readonly onReply: (reply: Reply, summary: RequestSummary) => void;
  /** Called once if the caller disconnects before the reply. */
  readonly onCallerDisconnected: (summary: RequestSummary) => void;
}

/** A noteworthy attempt: a retry, or one without a usable answer. */
export interface AttemptNote {
  /** Leaf or box that was called. */
  readonly asked: string;
  /** Version of the leaf; omitted for boxes and for leafs that do not report it. */
  readonly version?: string;
  /** Time since the request was received, in milliseconds. */
  readonly atMs: number;
  readonly what: string;
}

/** Summary of a finished request for the log. */
export interface RequestSummary {
  readonly state: RequestState;
  /** Noteworthy attempts, the earliest first. */
  readonly notes: ReadonlyArray<AttemptNote>;
  /** Hash of the request's content, equal for identical queries. */
  readonly fingerprint: string;
  /** Reasons why no leaf of a shard could be called, by service. */
  readonly blockedShards: ReadonlyMap<string, string>;
  /** Number of leafs whose connection closed before they answered, as happens when they crash. */
  readonly lostLeafs: number;
}

/** Maximum number of notes kept for one request. */
const MAX_NOTES = 40;

/** A request that is running. */
export interface RunningRequest {
  /** Time by which the reply must be sent, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Stops all work because the caller has disconnected. */
  cancel(): void;
  /** Replies immediately with the parts received so far, as at the deadline. */
  answerNow(): void;
}

/** Runs requests. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  readonly #running = new Set<RunningRequest>();

  /**
   * @param options - Dependencies that the box provides.
   */
  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  /** Number of unanswered requests. */
  get runningCount(): number {
    return this.#running.size;
  }

  /**
   * Replies to all running requests because the process is about to exit; otherwise requests that
   * wait for an unresponsive leaf would get no reply.
   *
   * @returns The number of requests that were still running.
   */
  answerAll(): number {
    const open = [...this.#running];
    for (const request of open) {
      request.answerNow();
    }
    return open.length;
  }

  /**
   * Replies to requests whose deadline has passed. Timers do not run while the box is suspended, so
   * leafs might otherwise keep working for callers that have already disconnected.
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
    run.dispatch({ kind: "started" });
    return run;
  }
}

type EffectHandlers = {
  readonly [K in RequestEffect["kind"]]: (
    effect: Extract<RequestEffect, { readonly kind: K }>,
  ) => void;
};

type DirectCall = Pick<
  Extract<RequestEffect, { readonly kind: "call" }>,
  "attemptId" | "shardIndex" | "leafId" | "deadlineAtMs" | "isTrial" | "isFirst"
>;

class Run implements RunningRequest {
  readonly #options: RunOptions;
  readonly #box: RunnerOptions;
  readonly #onDone: () => void;
  readonly #openCalls = new Map<number, OpenCall>();
  readonly #timers = new Map<RequestTimer, NodeJS.Timeout>();
  readonly #context: RunContext;
  readonly #relayRequests: RelayRequests;
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
    this.#context = new RunContext(box, {
      ...forwarded,
      placement,
      objectiveMs: terms.objectiveAtMs - terms.arrivedAtMs,
    });
    this.#relayRequests = new RelayRequests({
      ...{ nowMs, calls, quarantine, relays, terms, forwarded },
      chosenBox: (name) => this.#context.chosenBox(name),
      dispatch: (event) => this.dispatch(event),
      addNote: (calledId, note) => this.#addNote(calledId, note),
      onOpen: (attemptId, call) => this.#openCalls.set(attemptId, call),
      onEnded: (attemptId) => this.#openCalls.delete(attemptId),
    });
  }

  get deadlineAtMs(): number {
    return this.#state.terms.deadlineAtMs;
  }

  cancel(): void {
    const wasDone = this.#state.done;
    const summary = this.#summary();
    this.dispatch({ kind: "callerGone" });
    if (!wasDone) {
      this.#options.onCallerDisconnected(summary);
    }
  }

  answerNow(): void {
    this.dispatch({ kind: "timer", timer: "deadline" });
  }

  dispatch(event: RequestEvent): void {
    const wasDone = this.#state.done;
    this.#context.nowMs = this.#box.nowMs();
    this.#context.eventLoopIdleMs = this.#box.eventLoopIdleMs();
    const next: Step<RequestState, RequestEffect> = stepRequest(this.#state, event, this.#context);
    this.#state = next.state;
    for (const effect of next.effects) {
      (this.#handlers[effect.kind] as (effect: RequestEffect) => void)(effect);
    }
    if (!wasDone && this.#state.done) {
      this.#finish();
    }
  }

  readonly #handlers: EffectHandlers = {
    call: (effect) => {
      if ((this.#state.shards[effect.shardIndex]?.runs ?? 0) > 1) {
        this.#addNote(effect.leafId, "retried");
      }
      this.#call(effect);
    },
    relay: (effect) => this.#relayRequests.sendMerged(effect),
    relaySeparately: (effect) => this.#relayRequests.sendSeparate(effect),
    abandon: ({ attemptId }) => this.#openCalls.get(attemptId)?.abandon(),
    withdraw: ({ attemptId }) => this.#openCalls.get(attemptId)?.withdraw(),
    wake: ({ timer, atMs }) => {
      const delayMs = Math.max(0, atMs - this.#box.nowMs());
      clearTimeout(this.#timers.get(timer));
      // Reads what has already arrived first, as this process may have been stalled.
      const onTimer = (): void => {
        setImmediate(() => this.dispatch({ kind: "timer", timer }));
      };
      this.#timers.set(timer, setTimeout(onTimer, delayMs));
    },
    reply: ({ reply }) => this.#options.onReply(reply, this.#summary()),
  };

  #summary(): RequestSummary {
    const { fingerprint } = this.#options.forwarded;
    const { blockedShards } = this.#context;
    const counted = { fingerprint, lostLeafs: this.#lostLeafs };
    return { state: this.#state, notes: this.#notes, blockedShards, ...counted };
  }

  #addNote(calledId: string, note: string): void {
    if (this.#notes.length < MAX_NOTES) {
      const atMs = Math.round(this.#box.nowMs() - this.#options.terms.arrivedAtMs);
      const version = this.#box.leafs().byId.get(calledId)?.version;
      const named = version === undefined ? { asked: calledId } : { asked: calledId, version };
      this.#notes = [...this.#notes, { ...named, atMs, what: note }];
    }
  }

  #call({ attemptId, shardIndex, leafId, deadlineAtMs, isTrial, isFirst }: DirectCall): void {
    const leaf = this.#box.leafs().byId.get(leafId);
    if (leaf === undefined) {
      if (isTrial) {
        this.#box.quarantine.endTrial(this.#options.forwarded.fingerprint);
      }
      const outcome = { kind: "failed", sent: false, reason: "leaf was removed" } as const;
      queueMicrotask(() => this.dispatch({ kind: "attemptEnded", attemptId, shardIndex, outcome }));
      return;
    }
    const { requestId, route } = this.#options.terms;
    const { repeatable } = route;
    const maxBytes = maxAnswerBytes(this.#options.services.length);
    const terms = { repeatable, deadlineAtMs, isTrial, isFirst, maxBytes };
    const call = { leaf, requestId, ...this.#options.forwarded, ...terms };
    const open = this.#box.calls.send(call, (outcome) => {
      this.#openCalls.delete(attemptId);
      this.#recordOutcome(leafId, outcome);
      this.dispatch({ kind: "attemptEnded", attemptId, shardIndex, outcome });
    });
    this.#openCalls.set(attemptId, open);
  }

  #recordOutcome(calledId: string, outcome: AttemptOutcome): void {
    if (outcome.kind === "failed" && outcome.connectionClosed === true) {
      this.#lostLeafs += 1;
    }
    if (outcome.kind !== "answered") {
      this.#addNote(calledId, `${outcome.kind}: ${outcome.reason}`);
    } else if (outcome.answer.statusCode >= 300) {
      this.#addNote(calledId, `status ${outcome.answer.statusCode}`);
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
