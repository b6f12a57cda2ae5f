/**
 * Reads the answer to one call to a leaf.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import {
  type BlockReason,
  describeBlockReason,
  type EndRecorder,
  type LeafAccess,
} from "../leaf_access/mod.js";
import {
  decodeLeafLoadReport,
  decodeLeafResponse,
  encodeLeafHeaders,
  isResponseTo,
  type LeafLoadReport,
} from "../platform/mod.js";
import type { AnswerHeaders, AttemptOutcome } from "../request/mod.js";
import { BodyChunks } from "./_body_chunks.js";
import type { GrowingAnswer, LongAnswers } from "./_long_answers.js";
import { EndlessAnswerError } from "./_receive_limit.js";
import type { PendingCall } from "./_releasing_handler.js";
import { ABANDONED, versionResultOf } from "./_version_result.js";
import type { LeafCall } from "./leaf_call.js";

/** Reason of a call whose answer exceeds its size limit. */
const TOO_LONG = "answer is too long";

/** Maximum number of interim responses before an answer; leafs need none. */
const MAX_INTERIM_RESPONSES = 16;

/** Reason of a call whose leaf exceeds their number. */
const TOO_MANY_INTERIM = "too many interim responses";

/** How a call ended, with the load that the leaf reported. */
export interface EndedCall extends LeafLoadReport {
  readonly outcome: AttemptOutcome;
}

/** Dependencies of an answer reader. */
export interface AnswerReaderOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  /** Checked again when a connection becomes available, as the call may have waited for it. */
  readonly access: Pick<LeafAccess, "blockReasonForCall" | "recordCallSent">;
  /** Bounds the answers that are being read. */
  readonly longAnswers: LongAnswers;
}

/**
 * Creates the outcome of a call that may not be sent to its leaf.
 *
 * @param blockReason - Why it may not be sent.
 * @returns The outcome; nothing was sent.
 */
export function blockedOutcome(blockReason: BlockReason): AttemptOutcome {
  return {
    kind: "failed",
    sent: false,
    reason: describeBlockReason(blockReason),
    blockReason,
  };
}

/** A call that was counted as sent. */
interface CountedCall {
  readonly sentAtMs: number;
  /** Event-loop idle time when it was sent, in milliseconds. */
  readonly sentAtIdleMs: number;
  readonly recordEnd: EndRecorder;
}

/** Reads one complete answer. Any other result ends the call and closes its connection. */
export class AnswerReader implements PendingCall, GrowingAnswer {
  readonly #call: LeafCall;
  readonly #options: AnswerReaderOptions;
  readonly #onEnd: (ended: EndedCall) => void;
  #controller: Dispatcher.DispatchController | undefined;
  /** `undefined` until the call is counted as sent. */
  #counted: CountedCall | undefined;
  #sent = false;
  #ended = false;
  #statusCode = 0;
  #headers: AnswerHeaders = {};
  #interimResponses = 0;
  readonly #body = new BodyChunks();

  constructor(call: LeafCall, options: AnswerReaderOptions, onEnd: (ended: EndedCall) => void) {
    this.#call = call;
    this.#options = options;
    this.#onEnd = onEnd;
  }

  get isEnded(): boolean {
    return this.#ended;
  }

  get isRepeatable(): boolean {
    return this.#call.repeatable;
  }

  get sizeBytes(): number {
    return this.#body.sizeBytes;
  }

  failTooLong(): void {
    this.#fail(TOO_LONG);
    this.#controller?.abort(new Error(TOO_LONG));
  }

  admit(): boolean {
    const blockReason = this.#options.access.blockReasonForCall(this.#call);
    if (blockReason !== undefined) {
      this.#end(blockedOutcome(blockReason));
      return false;
    }
    const { access, eventLoopIdleMs, nowMs } = this.#options;
    const recordEnd = access.recordCallSent(this.#call);
    this.#counted = { sentAtMs: nowMs(), sentAtIdleMs: eventLoopIdleMs(), recordEnd };
    return true;
  }

  dispatchOptions(): Dispatcher.DispatchOptions {
    const { leaf, method, path, headers, body, deadlineAtMs } = this.#call;
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - this.#options.nowMs()));
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
      this.#interimResponses += 1;
      if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
        this.#fail(TOO_MANY_INTERIM);
        controller.abort(new Error(TOO_MANY_INTERIM));
      }
      return;
    }
    if (!isResponseTo(headers, this.#call.requestId)) {
      this.#fail("answer to another request");
      controller.abort(new Error("answer to another request"));
      return;
    }
    this.#statusCode = statusCode;
    this.#headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) {
      return;
    }
    this.#body.add(chunk);
    this.#options.longAnswers.recordGrowth(this);
    if (this.#body.sizeBytes > this.#call.maxBytes) {
      this.failTooLong();
    }
  }

  onResponseEnd(): void {
    if (this.#ended) {
      return;
    }
    const body = this.#body.take();
    const response = { statusCode: this.#statusCode, headers: this.#headers, body };
    this.#end(decodeLeafResponse(response));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    // This box closed the connection of an endless answer, so that the leaf has not crashed.
    const isClosedHere = error instanceof EndlessAnswerError;
    const connectionClosed = this.#sent && this.#statusCode === 0 && !isClosedHere;
    this.#end({
      kind: "failed",
      sent: this.#sent,
      reason: error.message,
      connectionClosed,
    });
  }

  #fail(reason: string): void {
    this.#end({ kind: "failed", sent: this.#sent, reason });
  }

  #end(outcome: AttemptOutcome): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#body.clear();
      this.#options.longAnswers.remove(this);
      // Before the outcome is reported, as the query's first crash would mark it as suspected.
      this.#recordEnd(outcome);
      this.#onEnd({ outcome, ...decodeLeafLoadReport(this.#headers) });
    }
  }

  #recordEnd(outcome: AttemptOutcome): void {
    if (this.#counted === undefined) {
      return;
    }
    const { recordEnd, sentAtIdleMs, sentAtMs } = this.#counted;
    const nowMs = this.#options.nowMs();
    const result = versionResultOf(outcome, {
      leftMs: this.#call.deadlineAtMs - nowMs,
      elapsedMs: nowMs - sentAtMs,
      idleMs: this.#options.eventLoopIdleMs() - sentAtIdleMs,
    });
    recordEnd({ result, elapsedMs: nowMs - sentAtMs });
  }
}
