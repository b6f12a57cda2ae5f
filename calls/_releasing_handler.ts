/**
 * Hands an answer on to its call, and the connection back to its line.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import type { LeafConnection } from "./leaf_connection.js";

/** A call that is handed to a connection when one is free. */
export interface PendingCall extends Dispatcher.DispatchHandler {
  /** Whether it is of no more use and is to be passed over. */
  readonly isEnded: boolean;
  /** Whether it may be sent again if its connection turns out to be gone. */
  readonly isRepeatable: boolean;
  /** Tells right before it is sent whether it may go to its leaf; one that may not has ended. */
  admit(): boolean;
  /** Makes the request, with the time that is left at this moment. */
  dispatchOptions(): Dispatcher.DispatchOptions;
  /** Told when no connection could be opened for it: nothing was sent. */
  onNoConnection(): void;
}

/** What a line is told of a call that is under way. */
export interface ConnectionOwner {
  /** Says that an answer has begun to come in. */
  noteResponse(): void;
  /** Says that a call has ended, so that its connection can carry the next. */
  release(connection: LeafConnection): void;
}

/** Hands an answer on, and the connection back once the answer has ended. */
export class ReleasingHandler implements Dispatcher.DispatchHandler {
  readonly #call: PendingCall;
  readonly #connection: LeafConnection;
  readonly #line: ConnectionOwner;

  /**
   * @param call - Whose answer it is.
   * @param connection - What carries it.
   * @param line - Where the connection goes back.
   */
  constructor(call: PendingCall, connection: LeafConnection, line: ConnectionOwner) {
    this.#call = call;
    this.#connection = connection;
    this.#line = line;
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.#call.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Parameters<NonNullable<PendingCall["onResponseStart"]>>[2],
  ): void {
    this.#connection.noteResponse();
    this.#line.noteResponse();
    this.#call.onResponseStart?.(controller, statusCode, headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
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

  /** A moment later, as undici frees the connection only after its handler has returned. */
  #release(): void {
    queueMicrotask(() => this.#line.release(this.#connection));
  }
}
