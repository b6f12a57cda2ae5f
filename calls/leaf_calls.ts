/**
 * Calls leafs over kept connections and notes how each leaf behaves.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import {
  type CallEnd,
  type Leaf,
  type LeafCondition,
  NEW_CONDITION,
  noteEnded,
  noteSent,
} from "../leafs/mod.js";
import {
  decodeLeafNews,
  decodeLeafResponse,
  encodeLeafHeaders,
  isAnswerTo,
} from "../platform/mod.js";
import type { AnswerHeaders, AttemptOutcome } from "../request/mod.js";
import { LeafLine, type WaitingCall } from "./leaf_line.js";

/** A call to be made. */
export interface LeafCall {
  readonly leaf: Leaf;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** The caller's headers that are passed on, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly body: Buffer | undefined;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Moment at which the answer is of no more use, on this box's clock. */
  readonly deadlineAtMs: number;
}

/** A call under way. */
export interface OpenCall {
  /** Breaks the call off; its connection is closed with it. */
  abandon(): void;
  /** Takes the call back if nothing of it has been sent; else lets it run. */
  withdraw(): void;
}

/** What the calls need. */
export interface LeafCallsOptions {
  readonly nowMs: () => number;
  /** Most connections of this box to a leaf of a service. */
  readonly connectionsTo: (service: string) => number;
  /** Told how each call ended. */
  readonly onEnd: (result: CallEnd["result"]) => void;
}

/** Time after its deadline at which a call is broken off, in milliseconds. */
const OVERDUE_MS = 100;

interface OpenEntry {
  readonly deadlineAtMs: number;
  readonly abandon: () => void;
}

/** Connections to all leafs, and what was seen of them. */
export class LeafCalls {
  readonly #options: LeafCallsOptions;
  readonly #lines = new Map<string, LeafLine>();
  readonly #conditions = new Map<string, LeafCondition>();
  readonly #open = new Map<number, OpenEntry>();
  #nextCallId = 1;

  /**
   * @param options - What the calls need.
   */
  constructor(options: LeafCallsOptions) {
    this.#options = options;
  }

  /** Calls that have not ended. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Tells what was seen of a leaf.
   *
   * @param leafId - The leaf.
   * @returns Its condition, or nothing where it was not asked yet.
   */
  condition(leafId: string): LeafCondition | undefined {
    return this.#conditions.get(leafId);
  }

  /**
   * Sends a request to a leaf.
   *
   * @param call - The request.
   * @param onEnd - Told once how it ended.
   * @returns The call under way.
   */
  send(call: LeafCall, onEnd: (outcome: AttemptOutcome) => void): OpenCall {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const { leafId } = call.leaf;
    const nowMs = this.#options.nowMs();
    this.#conditions.set(leafId, noteSent(this.#conditionOf(leafId), { callId, nowMs }));
    const handler = new AnswerReader(call, this.#options.nowMs, ({ outcome, toldLoad }) => {
      this.#open.delete(callId);
      const end: CallEnd = {
        callId,
        nowMs: this.#options.nowMs(),
        result: resultOf(outcome),
        toldLoad,
        slots: call.leaf.slots,
      };
      this.#conditions.set(leafId, noteEnded(this.#conditionOf(leafId), end));
      this.#options.onEnd(end.result);
      onEnd(outcome);
    });
    const abandon = (): void => handler.abandon();
    this.#open.set(callId, { deadlineAtMs: call.deadlineAtMs, abandon });
    this.#lineTo(call.leaf).send(handler);
    return { abandon, withdraw: () => handler.withdraw() };
  }

  /**
   * Notes a call that another box makes for this one, so that the leaf is judged by it as well.
   *
   * @param leafId - The leaf that is expected to be asked.
   * @returns Notes how the call ended; only the first time counts.
   */
  noteRelayed(leafId: string): (result: CallEnd["result"]) => void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const nowMs = this.#options.nowMs();
    this.#conditions.set(leafId, noteSent(this.#conditionOf(leafId), { callId, nowMs }));
    let isNoted = false;
    return (result) => {
      if (!isNoted) {
        isNoted = true;
        const end = { callId, nowMs: this.#options.nowMs(), result };
        this.#conditions.set(leafId, noteEnded(this.#conditionOf(leafId), end));
      }
    };
  }

  /** Breaks off the calls whose deadline has passed. */
  dropOverdue(): void {
    const nowMs = this.#options.nowMs();
    for (const { deadlineAtMs, abandon } of [...this.#open.values()]) {
      if (nowMs > deadlineAtMs + OVERDUE_MS) {
        abandon();
      }
    }
  }

  /**
   * Closes the connections to leafs that are no longer known; calls under way end first.
   *
   * @param isKnown - Tells whether a leaf is still known.
   */
  forgetUnknown(isKnown: (leafId: string) => boolean): void {
    for (const [leafId, line] of this.#lines) {
      if (!isKnown(leafId)) {
        this.#lines.delete(leafId);
        this.#conditions.delete(leafId);
        line.close();
      }
    }
  }

  #conditionOf(leafId: string): LeafCondition {
    return this.#conditions.get(leafId) ?? NEW_CONDITION;
  }

  #lineTo({ leafId, service, address, port, slots }: Leaf): LeafLine {
    const held = this.#lines.get(leafId);
    if (held !== undefined) {
      return held;
    }
    const { connectionsTo, nowMs } = this.#options;
    const mostConnections = (): number => connectionsTo(service);
    const line = new LeafLine({ address, port }, { slots, nowMs, mostConnections });
    this.#lines.set(leafId, line);
    return line;
  }
}

const RESULTS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => CallEnd["result"];
} = {
  answered: ({ answer }) => (answer.statusCode < 500 ? "answered" : "failed"),
  refused: ({ reason }) => reason,
  failed: ({ reason }) => (reason === ABANDONED ? "abandoned" : "failed"),
};

function resultOf(outcome: AttemptOutcome): CallEnd["result"] {
  return (RESULTS[outcome.kind] as (outcome: AttemptOutcome) => CallEnd["result"])(outcome);
}

const ABANDONED = "abandoned";

/** How a call ended, with what the leaf told beside it. */
interface EndedCall {
  readonly outcome: AttemptOutcome;
  readonly toldLoad: number | undefined;
}

/** Reads one answer whole; anything else ends the call and its connection. */
class AnswerReader implements WaitingCall {
  readonly #call: LeafCall;
  readonly #nowMs: () => number;
  readonly #onEnd: (ended: EndedCall) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #ended = false;
  #statusCode = 0;
  #headers: AnswerHeaders = {};
  readonly #chunks: Array<Buffer> = [];

  constructor(call: LeafCall, nowMs: () => number, onEnd: (ended: EndedCall) => void) {
    this.#call = call;
    this.#nowMs = nowMs;
    this.#onEnd = onEnd;
  }

  get isEnded(): boolean {
    return this.#ended;
  }

  get isRepeatable(): boolean {
    return this.#call.repeatable;
  }

  options(): Dispatcher.DispatchOptions {
    const { leaf, method, path, headers, body, deadlineAtMs } = this.#call;
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - this.#nowMs()));
    return {
      method: method as Dispatcher.HttpMethod,
      path,
      headers: encodeLeafHeaders(headers, { leafId: leaf.leafId, leftMs }),
      body: body ?? null,
      idempotent: false,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }

  onNoConnection(): void {
    this.#fail("no connection");
  }

  abandon(): void {
    this.#fail(ABANDONED);
    this.#controller?.abort(new Error(ABANDONED));
  }

  withdraw(): void {
    if (!this.#sent) {
      this.#fail(ABANDONED);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) {
      controller.abort(new Error(ABANDONED));
      return;
    }
    this.#sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: AnswerHeaders,
  ): void {
    if (statusCode < 200) {
      return;
    }
    if (!isAnswerTo(headers, this.#call.requestId)) {
      this.#fail("answer to another request");
      controller.abort(new Error("answer to another request"));
      return;
    }
    this.#statusCode = statusCode;
    this.#headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.#ended) {
      return;
    }
    const body = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
    const response = {
      statusCode: this.#statusCode,
      headers: this.#headers,
      body: body ?? Buffer.alloc(0),
    };
    this.#end(decodeLeafResponse(response));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error.message);
  }

  #fail(reason: string): void {
    this.#end({ kind: "failed", sent: this.#sent, reason });
  }

  #end(outcome: AttemptOutcome): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#onEnd({ outcome, toldLoad: decodeLeafNews(this.#headers).toldLoad });
    }
  }
}
