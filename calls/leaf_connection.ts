/**
 * One connection to a leaf, opened before anything is sent on it, so that what is sent goes out at
 * once and with the time that is really left.
 *
 * @module
 */
import { buildConnector, Client, type Dispatcher } from "undici";
import { nowMs } from "../clock/mod.js";
import type { SocketAddress } from "../platform/mod.js";

/** Time that a new connection has to come up, in milliseconds. */
const CONNECT_MS = 1_000;

/**
 * Time that a connection rests before it is closed, in milliseconds, where the leaf does not say
 * how long it keeps one.
 */
const REST_MS = 4_000;

const CONNECTOR = buildConnector({ timeout: CONNECT_MS, keepAlive: true });

type Socket = Parameters<Parameters<typeof CONNECTOR>[1]>[1];

/** Told what becomes of a connection. */
export interface LeafConnectionListener {
  /** Told once when the connection is up. */
  onOpen(connection: LeafConnection): void;
  /** Told once when it did not come up or has ended. */
  onClose(connection: LeafConnection): void;
}

/** A connection to a leaf that carries one call at a time. */
export class LeafConnection {
  readonly #listener: LeafConnectionListener;
  #client: Client | undefined;
  #socket: Socket = null;
  #busy = false;
  #closed = false;
  #restsSinceMs = nowMs();
  /** When the call on it was sent, until its answer begins. */
  #silentSinceMs: number | undefined;
  #heardAtMs = nowMs();
  #broken = false;

  /**
   * Begins to open a connection.
   *
   * @param where - Address and port of the leaf.
   * @param listener - Told what becomes of it.
   */
  constructor({ address, port }: SocketAddress, listener: LeafConnectionListener) {
    this.#listener = listener;
    CONNECTOR(
      { hostname: address, host: address, protocol: "http:", port: String(port) },
      (error, socket) => {
        if (error !== null || socket === null || this.#closed) {
          socket?.destroy();
          this.#close();
          return;
        }
        this.#socket = socket;
        this.#restsSinceMs = nowMs();
        this.#heardAtMs = this.#restsSinceMs;
        this.#client = this.#clientOn(`http://${address}:${port}`, socket);
        listener.onOpen(this);
      },
    );
  }

  /** Whether it is up. */
  get isOpen(): boolean {
    return !this.#closed && this.#socket?.destroyed === false;
  }

  /**
   * Whether it was reset. Undici takes an answer without a length to be whole then, but it may have
   * lost its end.
   */
  get wasReset(): boolean {
    return this.#broken;
  }

  /** Time since its last call ended, or since it came up, in milliseconds. */
  get idleMs(): number {
    return nowMs() - this.#restsSinceMs;
  }

  /** Moment since which the call on it has no answer; nothing where none is awaited. */
  get unansweredSinceMs(): number | undefined {
    return this.#silentSinceMs;
  }

  /** Moment at which something last came in on it, its opening included. */
  get lastContactAtMs(): number {
    return this.#heardAtMs;
  }

  /** Whether a call can be sent on it now. */
  get isIdle(): boolean {
    return this.isOpen && !this.#busy;
  }

  /**
   * Sends a call; only on a connection that is free.
   *
   * @param options - The call.
   * @param handler - Reads the answer.
   */
  send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#busy = true;
    this.#silentSinceMs = nowMs();
    this.#client?.dispatch(options, handler);
  }

  /** Says that an answer has begun to come in on it. */
  noteResponse(): void {
    this.#silentSinceMs = undefined;
    this.#heardAtMs = nowMs();
  }

  /** Says that the call on it has ended. */
  release(): void {
    this.#busy = false;
    this.#silentSinceMs = undefined;
    this.#restsSinceMs = nowMs();
  }

  /** Closes the connection; a call on it fails. */
  close(): void {
    void this.#client?.destroy();
    this.#close();
  }

  /** Undici's client on a socket that is already up; it never opens another one. */
  #clientOn(origin: string, socket: NonNullable<Socket>): Client {
    let given = false;
    const client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: REST_MS,
      connect: (_options, callback) => {
        if (given || socket.destroyed) {
          callback(new Error("the connection has ended"), null);
        } else {
          given = true;
          // Not at once: undici ignores a socket that is handed over while it asks for one.
          queueMicrotask(() => callback(null, socket));
        }
      },
    });
    client.on("disconnect", () => this.close());
    client.on("connectionError", () => this.close());
    // Both before undici's own listeners, which end the answer under way.
    socket.on("end", () => {
      // Libuv reports a plain end where bytes and a reset are seen together; only a connection that
      // was reset has no peer any more.
      this.#broken ||= socket.remoteAddress === undefined;
    });
    socket.on("error", () => {
      this.#broken = true;
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
