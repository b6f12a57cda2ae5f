/**
 * Passes an answer to its call, and returns the connection to its pool.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { EndlessAnswerError } from "./_receive_limit.js";
import type { LeafConnection } from "./leaf_connection.js";

/** A call that waits for a connection. */
export interface PendingCall extends Dispatcher.DispatchHandler {
  /** Whether the call has ended and must not be sent. */
  readonly isEnded: boolean;
  /** Whether it may be sent again if its connection turns out to be closed. */
  readonly isRepeatable: boolean;
  /**
   * Checks, right before sending, whether the call may go to its leaf. A call that may not has
   * ended.
   */
  admit(): boolean;
  /** Builds the request, with the time left until the deadline. */
  dispatchOptions(): Dispatcher.DispatchOptions;
  /** Called when no connection could be opened for it. Nothing was sent. */
  onNoConnection(): void;
}

/** The owner of a connection that carries a call. */
export interface ConnectionOwner {
  /** Records that an answer has begun to arrive. */
  recordResponse(): void;
  /** Records that a call has ended, so that its connection can carry the next. */
  release(connection: LeafConnection): void;
}

/** Passes an answer on, and releases the connection once the answer has ended. */
export class ReleasingHandler implements Dispatcher.DispatchHandler {
  readonly #call: PendingCall;
  readonly #connection: LeafConnection;
  readonly #owner: ConnectionOwner;

  /**
   * @param call - The call that is answered.
   * @param connection - The connection that carries it.
   * @param owner - The owner to which the connection is returned.
   */
  constructor(call: PendingCall, connection: LeafConnection, owner: ConnectionOwner) {
    this.#call = call;
    this.#connection = connection;
    this.#owner = owner;
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    if (!this.#connection.beginAnswer()) {
      controller.abort(new EndlessAnswerError());
      return;
    }
    this.#call.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Parameters<NonNullable<PendingCall["onResponseStart"]>>[2],
  ): void {
    this.#connection.recordResponse();
    this.#owner.recordResponse();
    this.#call.onResponseStart?.(controller, statusCode, headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#connection.recordBody(chunk.length);
    this.#call.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Parameters<NonNullable<PendingCall["onResponseEnd"]>>[1],
  ): void {
    this.#release();
    if (this.#connection.wasReset) {
      this.#call.onResponseError?.(controller, new Error("connection was reset"));
    } else {
      this.#call.onResponseEnd?.(controller, trailers);
    }
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    this.#release();
    this.#call.onResponseError?.(controller, error);
  }

  /**
   * Deferred to a microtask, as undici frees the connection only after its handler has returned.
   */
  #release(): void {
    queueMicrotask(() => this.#owner.release(this.#connection));
  }
}
