/**
 * The calls to one leaf: a queue of pending calls, and a pool of connections.
 *
 * @module
 */
import type { SocketAddress } from "../platform/mod.js";
import { type PendingCall, ReleasingHandler } from "./_releasing_handler.js";
import { LeafConnection } from "./leaf_connection.js";

/**
 * Time after a refused connection in which no further one is opened while others are established,
 * in milliseconds. Must be well below the time after which a leaf closes old connections.
 */
const REFUSED_BACKOFF_MS = 150;

/**
 * Maximum idle time of a connection for a call that must not run twice, in milliseconds. The leaf
 * may have dropped an older connection, and then it is unknown whether the call has run.
 */
const MAX_IDLE_MS = 200;

/**
 * Time without an answer after which a connection, and others to the same leaf, may be dead, in
 * milliseconds. Must be above the pauses of healthy leafs.
 */
const UNRESPONSIVE_MS = 500;

/**
 * Maximum time for which a call waits for a connection while nothing is received from the leaf, in
 * milliseconds. The call has not been sent, so another leaf can be called at no cost.
 */
const MAX_WAIT_MS = 300;

/** Dependencies of a connection pool. */
export interface LeafConnectionPoolOptions {
  /** Number of requests that the leaf runs concurrently. */
  readonly slots: number;
  readonly nowMs: () => number;
  /** Returns the maximum number of connections from this box to the leaf. */
  readonly maxConnections: () => number;
}

/** Pending calls and connections of one leaf. */
export class LeafConnectionPool {
  readonly #address: SocketAddress;
  readonly #maxConnections: () => number;
  readonly #connections = new Set<LeafConnection>();
  #pending: Array<PendingCall> = [];
  readonly #slots: number;
  readonly #nowMs: () => number;
  #opening = 0;
  /** When a connection was last established or an answer last began to arrive. */
  #lastContactAtMs = 0;
  #waitTimer: NodeJS.Timeout | undefined;
  #nextOpenAtMs = 0;
  #closing = false;

  /**
   * @param address - Address and port of the leaf.
   * @param options - Dependencies of the pool.
   */
  constructor(address: SocketAddress, { slots, maxConnections, nowMs }: LeafConnectionPoolOptions) {
    this.#address = address;
    this.#slots = slots;
    this.#maxConnections = maxConnections;
    this.#nowMs = nowMs;
  }

  /**
   * Sends a call on an idle connection, or as soon as there is one.
   *
   * @param call - The call.
   */
  send(call: PendingCall): void {
    this.#pending.push(call);
    this.#sendPending();
    this.#limitWait();
  }

  /** Records that an answer has begun to arrive. */
  recordResponse(): void {
    this.#lastContactAtMs = this.#nowMs();
  }

  /**
   * Records that a call has ended, so that its connection can carry the next.
   *
   * @param connection - The connection that carried it.
   */
  release(connection: LeafConnection): void {
    connection.release();
    this.#sendPending();
  }

  /** Fails the calls that wait for a connection. They were not sent. */
  failPending(): void {
    this.#failCalls(new Set(this.#pending));
  }

  /**
   * Closes the connections as soon as their calls have ended. No more calls may be sent.
   *
   * @param options - Whether the calls that wait for a connection fail. They were not sent.
   */
  close({ failPending }: { readonly failPending: boolean }): void {
    this.#closing = true;
    if (failPending) {
      this.failPending();
    }
    this.#closeIdle();
  }

  /**
   * Starts a timer after which pending calls fail if nothing has been received from the leaf
   * meanwhile.
   */
  #limitWait(): void {
    if (this.#pending.length === 0 || this.#waitTimer !== undefined) {
      return;
    }
    const sinceMs = this.#nowMs();
    const pending = this.#pending;
    this.#waitTimer = setTimeout(() => {
      // Reads what has already arrived first, as this process may have been stalled.
      setImmediate(() => {
        this.#waitTimer = undefined;
        if (this.#lastContactAtMs < sinceMs) {
          this.#failCalls(new Set(pending));
        }
        this.#limitWait();
      });
    }, MAX_WAIT_MS);
  }

  #failCalls(calls: ReadonlySet<PendingCall>): void {
    const failing = this.#pending.filter((call) => calls.has(call));
    this.#pending = this.#pending.filter((call) => !calls.has(call));
    for (const call of failing) {
      call.onNoConnection();
    }
  }

  #sendPending(): void {
    this.#pending = this.#pending.filter((call) => !call.isEnded);
    for (const connection of this.#connections) {
      if (this.#pending.length === 0) {
        break;
      }
      this.#sendNextOn(connection);
    }
    this.#openMore();
    if (this.#closing) {
      this.#closeIdle();
    }
  }

  #sendNextOn(connection: LeafConnection): void {
    const [call, ...others] = this.#pending;
    if (call === undefined || !connection.isIdle) {
      return;
    }
    const isStale = !call.isRepeatable && connection.idleMs > MAX_IDLE_MS;
    if (isStale || this.#mayBeDead(connection)) {
      connection.close();
      return;
    }
    this.#pending = others;
    if (call.admit()) {
      this.#sendOn(connection, call);
    } else {
      this.#sendNextOn(connection);
    }
  }

  /**
   * Whether another connection has been unanswered for long and nothing has arrived on this one
   * since.
   */
  #mayBeDead({ lastContactAtMs }: LeafConnection): boolean {
    const thresholdMs = this.#nowMs() - UNRESPONSIVE_MS;
    for (const { unansweredSinceMs = Number.POSITIVE_INFINITY } of this.#connections) {
      if (unansweredSinceMs < thresholdMs && lastContactAtMs < unansweredSinceMs) {
        return true;
      }
    }
    return false;
  }

  #sendOn(connection: LeafConnection, call: PendingCall): void {
    connection.send(call.dispatchOptions(), new ReleasingHandler(call, connection, this));
  }

  /**
   * Opens connections for pending calls. At most as many are opened concurrently as the leaf has
   * slots, as each may occupy one briefly. After a refused connection, none is opened for a while
   * if others are established.
   */
  #openMore(): void {
    if (this.#hasOpen() && this.#nowMs() < this.#nextOpenAtMs) {
      return;
    }
    const wanted = Math.min(this.#slots, this.#pending.length);
    while (this.#opening < wanted && this.#connections.size < this.#maxConnections()) {
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
    const settle = (): void => {
      if (!isOpen) {
        isOpen = true;
        this.#opening -= 1;
      }
    };
    const connection = new LeafConnection(this.#address, {
      onOpen: () => {
        settle();
        this.recordResponse();
        this.#sendPending();
      },
      onClose: (closed) => {
        this.#connections.delete(closed);
        if (!isOpen) {
          settle();
          this.#nextOpenAtMs = this.#nowMs() + REFUSED_BACKOFF_MS;
          this.#failIfUnreachable();
        }
        this.#sendPending();
      },
    });
    this.#connections.add(connection);
  }

  /**
   * Fails the pending calls if no connection is established, since waiting longer would only delay
   * their callers.
   */
  #failIfUnreachable(): void {
    if (this.#hasOpen()) {
      return;
    }
    this.failPending();
  }

  #closeIdle(): void {
    for (const connection of this.#connections) {
      if (connection.isIdle) {
        connection.close();
      }
    }
  }
}
