/**
 * One connection to a leaf. It is opened before a call is assigned to it, so that the call goes out
 * immediately, with the correct time left.
 *
 * @module
 */
import { buildConnector, Client, type Dispatcher } from "undici";
import { nowMs } from "../clock/mod.js";
import type { SocketAddress } from "../platform/mod.js";
import { EndlessAnswerError, HEAD_AND_FRAMING_BYTES, ReceiveLimit } from "./_receive_limit.js";

/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Default time after which an idle connection is closed, in milliseconds, for leafs that do not
 * announce a keep-alive timeout.
 */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Limit of undici's parser on headers, in bytes. It is above the bound on all bytes, which ends a call
 * sooner: past its limit, the parser creates an error for each remaining header of what was read.
 */
const PARSER_HEADER_BYTES = 2 * HEAD_AND_FRAMING_BYTES;

const CONNECTOR = buildConnector({ timeout: CONNECT_TIMEOUT_MS, keepAlive: true });

type Socket = Parameters<Parameters<typeof CONNECTOR>[1]>[1];

/** Receives the state changes of a connection. */
export interface LeafConnectionListener {
  /** Called once when the connection is established. */
  onOpen(connection: LeafConnection): void;
  /** Called once when the connection could not be established or has been closed. */
  onClose(connection: LeafConnection): void;
}

/** A connection to a leaf that carries one call at a time. */
export class LeafConnection {
  readonly #listener: LeafConnectionListener;
  #client: Client | undefined;
  #socket: Socket = null;
  #busy = false;
  #closed = false;
  #idleSinceMs = nowMs();
  /** When the current call was sent; `undefined` once its answer begins. */
  #unansweredSinceMs: number | undefined;
  #lastContactAtMs = nowMs();
  #reset = false;
  readonly #received = new ReceiveLimit();

  /**
   * Starts to open a connection.
   *
   * @param where - Address and port of the leaf.
   * @param listener - Receives the state changes.
   */
  constructor({ address, port }: SocketAddress, listener: LeafConnectionListener) {
    this.#listener = listener;
    try {
      this.#connect(address, port);
    } catch {
      // Deferred: the listener does not know this connection before the constructor returns.
      queueMicrotask(() => this.#close());
    }
  }

  /** Whether the connection is established. */
  get isOpen(): boolean {
    return !this.#closed && this.#socket?.destroyed === false;
  }

  /**
   * Whether the connection was reset. Undici then regards an answer without a length as complete,
   * although it may be truncated.
   */
  get wasReset(): boolean {
    return this.#reset;
  }

  /** Time since its last call ended or since it was established, in milliseconds. */
  get idleMs(): number {
    return nowMs() - this.#idleSinceMs;
  }

  /** When the call that awaits an answer was sent; `undefined` if no answer is awaited. */
  get unansweredSinceMs(): number | undefined {
    return this.#unansweredSinceMs;
  }

  /** When an answer last began to arrive, or the connection was established. */
  get lastContactAtMs(): number {
    return this.#lastContactAtMs;
  }

  /** Whether a call can be sent on it now. */
  get isIdle(): boolean {
    return this.isOpen && !this.#busy;
  }

  /**
   * Sends a call. The connection must be idle.
   *
   * @param options - The call.
   * @param handler - Reads the answer.
   */
  send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#busy = true;
    this.#unansweredSinceMs = nowMs();
    this.#client?.dispatch(options, handler);
  }

  /**
   * Begins to wait for the answer, as the request is about to be sent.
   *
   * @returns Whether it may be sent. Otherwise the leaf has sent bytes that no call asked for.
   */
  beginAnswer(): boolean {
    const isClean = !this.#received.isExceeded(this.#readBytes);
    this.#received.beginCall(this.#readBytes);
    return isClean;
  }

  /** Records that an answer has begun to arrive. */
  recordResponse(): void {
    this.#unansweredSinceMs = undefined;
    this.#lastContactAtMs = nowMs();
  }

  /**
   * Records that a part of the current call's answer has arrived.
   *
   * @param sizeBytes - Its size.
   */
  recordBody(sizeBytes: number): void {
    this.#received.addBody(sizeBytes);
  }

  /** Records that the current call has ended. */
  release(): void {
    this.#busy = false;
    this.#received.endCall(this.#readBytes);
    this.#unansweredSinceMs = undefined;
    this.#idleSinceMs = nowMs();
  }

  /** Closes the connection. The current call, if any, fails. */
  close(): void {
    void this.#client?.destroy();
    this.#close();
  }

  get #readBytes(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  #closeIfExceeded(): void {
    if (!this.#closed && this.#received.isExceeded(this.#readBytes)) {
      void this.#client?.destroy(new EndlessAnswerError());
      this.#close();
    }
  }

  /** @throws If the address or the port is invalid; all other errors close the connection. */
  #connect(address: string, port: number): void {
    CONNECTOR(
      { hostname: address, host: address, protocol: "http:", port: String(port) },
      (error, socket) => {
        if (error !== null || socket === null || this.#closed) {
          socket?.destroy();
          this.#close();
          return;
        }
        this.#socket = socket;
        this.#idleSinceMs = nowMs();
        this.#lastContactAtMs = this.#idleSinceMs;
        this.#client = this.#clientOn(`http://${address}:${port}`, socket);
        this.#listener.onOpen(this);
      },
    );
  }

  /** Creates an undici client on an established socket. It never opens another one. */
  #clientOn(origin: string, socket: NonNullable<Socket>): Client {
    let used = false;
    const client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: PARSER_HEADER_BYTES,
      connect: (_options, callback) => {
        if (used || socket.destroyed) {
          callback(new Error("connection closed"), null);
        } else {
          used = true;
          // Deferred: undici ignores a socket that is passed to the callback synchronously.
          queueMicrotask(() => callback(null, socket));
        }
      },
    });
    // Registered after undici's own listener, which has then parsed what was read.
    client.once("connect", () => socket.on("readable", () => this.#closeIfExceeded()));
    client.on("disconnect", () => this.close());
    client.on("connectionError", () => this.close());
    // Both are registered before undici's own listeners, which end the current answer.
    socket.on("end", () => {
      // Libuv reports a plain end if it reads bytes and a reset together; only a reset connection
      // has no peer any more.
      this.#reset ||= socket.remoteAddress === undefined;
    });
    socket.on("error", () => {
      this.#reset = true;
      this.close();
    });
    socket.once("close", () => this.close());
    return client;
  }

  #close(): void {
    if (!this.#closed) {
      this.#closed = true;
      this.#listener.onClose(this);
    }
  }
}
