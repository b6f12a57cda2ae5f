/**
 * A loopback proxy in front of a leaf or the store that injects network faults: it delays data, blocks one or
 * both directions, resets connections, or permanently stalls open ones.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Faults of a link. */
export interface LinkFault {
  /** Delay of each chunk of data, in milliseconds. */
  readonly delayMs: number;
  /** Whether data to the target is held back. */
  readonly blocksRequests: boolean;
  /** Whether data from the target is held back. */
  readonly blocksResponses: boolean;
}

const NO_FAULT: LinkFault = { delayMs: 0, blocksRequests: false, blocksResponses: false };

/** Interval of checks whether blocked data may pass, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** A caller's connection and the corresponding one to the target. */
interface ProxiedConnection {
  /** Whether all data is discarded in both directions, with the connection left open. */
  isStalled: boolean;
}

/** A proxy in front of one target. */
export class LinkProxy {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #connections = new Set<ProxiedConnection>();
  #fault: LinkFault = NO_FAULT;

  /**
   * @param targetPort - Port of the target on this machine.
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#connect(caller));
  }

  /**
   * Starts to listen.
   *
   * @returns The proxy's port.
   */
  async open(): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(0, LOOPBACK, resolve));
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  /**
   * Injects faults, in addition to the current ones.
   *
   * @param fault - Faults to inject.
   */
  injectFault(fault: Partial<LinkFault>): void {
    this.#fault = { ...this.#fault, ...fault };
  }

  /** Clears all injected faults; blocked data passes. */
  clearFaults(): void {
    this.#fault = NO_FAULT;
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) {
      resetConnection(socket);
    }
  }

  /** Stalls the open connections permanently without closing them; new connections are not affected. */
  stallOpenConnections(): void {
    for (const connection of this.#connections) {
      connection.isStalled = true;
    }
  }

  /** Closes the proxy and resets its connections. */
  close(): void {
    this.#server.close();
    this.reset();
  }

  #connect(caller: Socket): void {
    const target = connect(this.#targetPort, LOOPBACK);
    const connection: ProxiedConnection = { isStalled: false };
    this.#connections.add(connection);
    caller.on("close", () => this.#connections.delete(connection));
    this.#forward({ from: caller, to: target, connection }, () => this.#fault.blocksRequests);
    this.#forward({ from: target, to: caller, connection }, () => this.#fault.blocksResponses);
  }

  #forward({ from, to, connection }: Direction, isBlocked: () => boolean): void {
    this.#sockets.add(from);
    let previous = Promise.resolve();
    const enqueue = (write: () => void): void => {
      previous = previous
        .then(() => this.#waitUntilUnblocked(isBlocked))
        .then(() => {
          if (!connection.isStalled) {
            write();
          }
        });
    };
    from.on("data", (data: Buffer) => enqueue(() => !to.destroyed && to.write(data)));
    from.on("end", () => enqueue(() => to.end()));
    from.on("error", () => resetConnection(to));
    from.on("close", () => this.#sockets.delete(from));
  }

  async #waitUntilUnblocked(isBlocked: () => boolean): Promise<void> {
    const { delayMs } = this.#fault;
    if (delayMs > 0) {
      await sleep(delayMs);
    }
    while (isBlocked()) {
      await sleep(CHECK_INTERVAL_MS);
    }
  }
}

/** One direction of a connection. */
interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly connection: ProxiedConnection;
}

/**
 * Resets a connection, or destroys it if its writable side has ended. In that state libuv rejects the reset, and
 * Node.js would leak the handle and keep the exiting process busy.
 *
 * @param socket - The connection.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
