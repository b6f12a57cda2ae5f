/**
 * Hands an answer on to its call, and the connection back to its line.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import type { LeafConnection } from "./leaf_connection.js";

/** A call that is handed to a connection when one is free. */
export interface WaitingCall extends Dispatcher.DispatchHandler {
  /** Whether it is of no more use and is to be passed over. */
  readonly isEnded: boolean;
  /** Whether it may be sent again if its connection turns out to be gone. */
  readonly isRepeatable: boolean;
  /** Tells right before it is sent whether it may go to its leaf; one that may not has ended. */
  admit(): boolean;
  /** Makes the request, with the time that is left at this moment. */
  options(): Dispatcher.DispatchOptions;
  /** Told when no connection could be opened for it: nothing was sent. */
  onNoConnection(): void;
}

/** What a line is told of a call that is under way. */
export interface AnsweredLine {
  /** Says that an answer has begun to come in. */
  noteHeard(): void;
  /** Says that a call has ended, so that its connection can carry the next. */
  release(connection: LeafConnection): void;
}

/** Hands an answer on, and the connection back once the answer has ended. */
export class ReleasingHandler implements Dispatcher.DispatchHandler {
  readonly #call: WaitingCall;
  readonly #connection: LeafConnection;
  readonly #line: AnsweredLine;

  /**
   * @param call - Whose answer it is.
   * @param connection - What carries it.
   * @param line - Where the connection goes back.
   */
  constructor(call: WaitingCall, connection: LeafConnection, line: AnsweredLine) {
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
    headers: Parameters<NonNullable<WaitingCall["onResponseStart"]>>[2],
  ): void {
    this.#connection.noteHeard();
    this.#line.noteHeard();
    this.#call.onResponseStart?.(controller, statusCode, headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#call.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Parameters<NonNullable<WaitingCall["onResponseEnd"]>>[1],
  ): void {
    this.#release();
    if (this.#connection.isBroken) {
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
