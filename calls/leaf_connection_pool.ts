/**
 * The calls to one leaf: those that wait for a connection, and the connections.
 *
 * @module
 */
import type { SocketAddress } from "../platform/mod.js";
import { type PendingCall, ReleasingHandler } from "./_releasing_handler.js";
import { LeafConnection } from "./leaf_connection.js";

/**
 * Time after a connection was turned away in which no other is opened beside those that are up, in
 * milliseconds; well below the time in which a leaf lets old connections go.
 */
const REFUSED_MS = 150;

/**
 * Longest time that a connection may have rested to carry a call that must not be sent twice, in
 * milliseconds: a leaf may have forgotten it, and then it cannot be told whether the call has run. A
 * new connection costs about a millisecond at such services.
 */
const MOST_RESTED_MS = 200;

/**
 * Time without an answer after which a connection may have gone silent for good, in milliseconds, and
 * with it the others to the same leaf. Above what leafs pause, 150 to 250 ms, with a queue on top.
 */
const SILENT_MS = 500;

/**
 * Longest time that a call waits for a connection while nothing is heard of the leaf, in milliseconds;
 * it has not been sent, so that another leaf can be asked at no cost. Above what leafs pause.
 */
const MOST_WAIT_MS = 300;

/** What a line needs of its box. */
export interface LeafConnectionPoolOptions {
  /** Requests that the leaf runs at the same time. */
  readonly slots: number;
  readonly nowMs: () => number;
  /** Tells how many connections this box may have to the leaf. */
  readonly maxConnections: () => number;
}

/** Calls and connections of one leaf. */
export class LeafConnectionPool {
  readonly #where: SocketAddress;
  readonly #mostConnections: () => number;
  readonly #connections = new Set<LeafConnection>();
  #waiting: Array<PendingCall> = [];
  readonly #slots: number;
  readonly #nowMs: () => number;
  #opening = 0;
  /** When a connection last came up or an answer last came in. */
  #heardAtMs = 0;
  #waitTimer: NodeJS.Timeout | undefined;
  #openAfterMs = 0;
  #closing = false;

  /**
   * @param where - Address and port of the leaf.
   * @param options - What the line needs of its box.
   */
  constructor(
    where: SocketAddress,
    { slots, maxConnections: mostConnections, nowMs }: LeafConnectionPoolOptions,
  ) {
    this.#where = where;
    this.#slots = slots;
    this.#mostConnections = mostConnections;
    this.#nowMs = nowMs;
  }

  /**
   * Sends a call on a free connection, or as soon as there is one.
   *
   * @param call - The call.
   */
  send(call: PendingCall): void {
    this.#waiting.push(call);
    this.#serve();
    this.#limitWait();
  }

  /** Says that an answer has begun to come in. */
  noteResponse(): void {
    this.#heardAtMs = this.#nowMs();
  }

  /**
   * Says that a call has ended, so that its connection can carry the next.
   *
   * @param connection - The connection that carried it.
   */
  release(connection: LeafConnection): void {
    connection.release();
    this.#serve();
  }

  /**
   * Closes the connections as soon as their calls have ended; no more calls are taken.
   *
   * @param options - Whether calls that wait are given up: they were not sent, and a leaf that has started
   *   again no longer listens where they would go.
   */
  close({ givesUpWaiting }: { readonly givesUpWaiting: boolean }): void {
    this.#closing = true;
    if (givesUpWaiting) {
      this.#giveUp(new Set(this.#waiting));
    }
    this.#closeFree();
  }

  /** Looks after a while whether what waits now still does and the leaf was not heard of since. */
  #limitWait(): void {
    if (this.#waiting.length === 0 || this.#waitTimer !== undefined) {
      return;
    }
    const sinceMs = this.#nowMs();
    const waiting = this.#waiting;
    this.#waitTimer = setTimeout(() => {
      // What has come in meanwhile is read first: this process may have had no time itself.
      setImmediate(() => {
        this.#waitTimer = undefined;
        if (this.#heardAtMs < sinceMs) {
          this.#giveUp(new Set(waiting));
        }
        this.#limitWait();
      });
    }, MOST_WAIT_MS);
  }

  #giveUp(calls: ReadonlySet<PendingCall>): void {
    const givenUp = this.#waiting.filter((call) => calls.has(call));
    this.#waiting = this.#waiting.filter((call) => !calls.has(call));
    for (const call of givenUp) {
      call.onNoConnection();
    }
  }

  #serve(): void {
    this.#waiting = this.#waiting.filter((call) => !call.isEnded);
    for (const connection of this.#connections) {
      if (this.#waiting.length === 0) {
        break;
      }
      this.#serveOn(connection);
    }
    this.#openMore();
    if (this.#closing) {
      this.#closeFree();
    }
  }

  #serveOn(connection: LeafConnection): void {
    const [call, ...others] = this.#waiting;
    if (call === undefined || !connection.isIdle) {
      return;
    }
    const isTooOld = !call.isRepeatable && connection.idleMs > MOST_RESTED_MS;
    if (isTooOld || this.#mayBeSilent(connection)) {
      connection.close();
      return;
    }
    this.#waiting = others;
    if (call.admit()) {
      this.#sendOn(connection, call);
    } else {
      this.#serveOn(connection);
    }
  }

  /** Whether another connection has got no answer for long, and this one was not heard since either. */
  #mayBeSilent({ lastContactAtMs: heardAtMs }: LeafConnection): boolean {
    const longAgoMs = this.#nowMs() - SILENT_MS;
    for (const { unansweredSinceMs: silentSinceMs = Number.POSITIVE_INFINITY } of this
      .#connections) {
      if (silentSinceMs < longAgoMs && heardAtMs < silentSinceMs) {
        return true;
      }
    }
    return false;
  }

  #sendOn(connection: LeafConnection, call: PendingCall): void {
    connection.send(call.dispatchOptions(), new ReleasingHandler(call, connection, this));
  }

  /**
   * Opens connections where calls wait, no more at a time than the leaf has slots, as each may hold
   * one for a moment. A leaf that has just turned one away is left alone for a while as long as
   * another is up.
   */
  #openMore(): void {
    if (this.#hasOpen() && this.#nowMs() < this.#openAfterMs) {
      return;
    }
    const wanted = Math.min(this.#slots, this.#waiting.length);
    while (this.#opening < wanted && this.#connections.size < this.#mostConnections()) {
      this.#open();
    }
  }

  #hasOpen(): boolean {
    for (const connection of this.#connections) {
      if (connection.isOpen) {
        return true;
      }
    }
    return false;
  }

  #open(): void {
    let isOpen = false;
    this.#opening += 1;
    const opened = (): void => {
      if (!isOpen) {
        isOpen = true;
        this.#opening -= 1;
      }
    };
    const connection = new LeafConnection(this.#where, {
      onOpen: () => {
        opened();
        this.noteResponse();
        this.#serve();
      },
      onClose: (closed) => {
        this.#connections.delete(closed);
        if (!isOpen) {
          opened();
          this.#openAfterMs = this.#nowMs() + REFUSED_MS;
          this.#failWaiting();
        }
        this.#serve();
      },
    });
    this.#connections.add(connection);
  }

  /** Where no connection comes up and none is there, waiting on would only cost the callers time. */
  #failWaiting(): void {
    if (this.#hasOpen()) {
      return;
    }
    this.#giveUp(new Set(this.#waiting));
  }

  #closeFree(): void {
    for (const connection of this.#connections) {
      if (connection.isIdle) {
        connection.close();
      }
    }
  }
}
