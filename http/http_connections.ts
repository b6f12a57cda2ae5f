/**
 * The open connections of an HTTP server, and how they end in a planned stop: whatever was read is
 * answered, the answer is written completely, then the connection is closed.
 *
 * Node's own functions do not serve this: they count a connection that has carried no request as
 * active, and one whose response is still being written as idle.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { nextPoll } from "./next_poll.js";

/** What is open on the connections of a server. */
export interface ConnectionCounts {
  readonly connections: number;
  /** Connections on which a request has been begun and its response is not written completely. */
  readonly busy: number;
  /** Requests whose response has not been handed to the operating system completely. */
  readonly openRequests: number;
  /** Bytes of responses that have not been handed to the operating system. */
  readonly unwrittenBytes: number;
}

/** Interval of checks whether responses have been written, in milliseconds. */
const WRITE_CHECK_INTERVAL_MS = 10;

/** Maximum number of polls in which connections are still accepted: more than a listener's backlog. */
const MAX_ACCEPT_POLLS = 1_024;

interface Connection {
  readonly openResponses: Set<ServerResponse>;
  /** Bytes that had been read when its last request had been read. */
  handledBytes: number;
  /** Whether it closes after the response that is open, so that no more requests are handled. */
  isClosing: boolean;
}

/** Tracks the connections of a server, and closes them. */
export class HttpConnections {
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  #acceptedCount = 0;

  /**
   * @param server - The server, before it listens.
   */
  constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket: Socket) => {
      this.#acceptedCount += 1;
      this.#connections.set(socket, {
        openResponses: new Set(),
        handledBytes: 0,
        isClosing: false,
      });
      socket.on("close", () => this.#connections.delete(socket));
    });
    server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
      this.#trackRequest(request, response);
    });
  }

  /** Counts what is open now. */
  counts(): ConnectionCounts {
    const entries = [...this.#connections];
    return {
      connections: entries.length,
      busy: entries.filter(([socket, connection]) => isBusy(socket, connection)).length,
      openRequests: entries.reduce((sum, [, { openResponses }]) => sum + openResponses.size, 0),
      unwrittenBytes: entries.reduce((sum, [{ writableLength }]) => sum + writableLength, 0),
    };
  }

  /**
   * Accepts no further connections and closes the idle ones, after accepting and reading what has
   * already arrived. Connections on which a request has been begun stay open.
   */
  async stopAccepting(): Promise<void> {
    await this.#acceptArrived();
    // The method of `Server` itself also closes connections whose response is being written.
    NetServer.prototype.close.call(this.#server);
    await nextPoll();
    this.closeIdle();
  }

  /** Accepts the connections that wait, of which each turn of the event loop accepts only one. */
  async #acceptArrived(): Promise<void> {
    let before: number;
    let polls = 0;
    do {
      before = this.#acceptedCount;
      polls += 1;
      await nextPoll();
    } while (this.#acceptedCount > before && polls < MAX_ACCEPT_POLLS);
  }

  /**
   * Lets a connection close after a response that is about to be written, unless other requests
   * have been read on it, whose responses it would cut.
   *
   * @param response - The response.
   * @returns Whether the connection closes; the response is to say so.
   */
  closeAfter(response: ServerResponse): boolean {
    const connection = this.#connections.get(response.req.socket);
    if (connection === undefined || connection.openResponses.size > 1) {
      return false;
    }
    connection.isClosing = true;
    return true;
  }

  /**
   * Returns whether a connection closes after an earlier response, so that a request on it must not
   * be handled.
   *
   * @param socket - The connection.
   * @returns Whether it closes.
   */
  isClosing(socket: Socket): boolean {
    return this.#connections.get(socket)?.isClosing === true;
  }

  /** Closes the connections on which no request has been begun. */
  closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (!isBusy(socket, connection)) {
        socket.destroy();
      }
    }
  }

  /**
   * Accepts no further connections, and closes all once the responses that have ended are written
   * completely. Requests that have arrived before are read and handled.
   *
   * @param options - Time after which connections are closed in any case, in milliseconds.
   * @returns What was open on the connections that were closed, and is lost with them.
   */
  async close({ timeoutMs }: { readonly timeoutMs: number }): Promise<ConnectionCounts> {
    const giveUpAtMs = performance.now() + timeoutMs;
    await this.stopAccepting();
    while (this.#isWriting() && performance.now() < giveUpAtMs) {
      await delay(WRITE_CHECK_INTERVAL_MS);
    }
    const lost = this.counts();
    for (const socket of this.#connections.keys()) {
      socket.destroy();
    }
    await nextPoll();
    return lost;
  }

  #isWriting(): boolean {
    return [...this.#connections.values()].some(({ openResponses }) => {
      return [...openResponses].some(({ writableEnded }) => writableEnded);
    });
  }

  #trackRequest({ headers, socket }: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.openResponses.add(response);
    connection.handledBytes = socket.bytesRead;
    const hasBody =
      headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    // Emitted once the response has been handed to the operating system, or the connection closed.
    response.once("close", () => {
      connection.openResponses.delete(response);
      if (hasBody) {
        connection.handledBytes = socket.bytesRead;
      }
    });
  }
}

/** Whether a request has been begun whose response is not written completely. */
function isBusy(socket: Socket, { openResponses, handledBytes }: Connection): boolean {
  return openResponses.size > 0 || socket.bytesRead > handledBytes;
}
