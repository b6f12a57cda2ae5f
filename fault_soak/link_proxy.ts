/**
 * A loopback proxy before a leaf or the store, which harms what passes: delays it, holds it back one way
 * or both, resets its connections, or makes those that are open silent for good.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** What is wrong with a link. */
export interface LinkHarm {
  /** Added to each piece of data, in milliseconds. */
  readonly delayMs: number;
  /** Whether nothing passes towards the target. */
  readonly holdsRequests: boolean;
  /** Whether nothing passes back. */
  readonly holdsAnswers: boolean;
}

const SOUND: LinkHarm = { delayMs: 0, holdsRequests: false, holdsAnswers: false };

/** Time between two looks at whether data that is held may pass, in milliseconds. */
const LOOK_EVERY_MS = 20;

/** A caller's connection with the one to the target behind it. */
interface Joined {
  /** Whether nothing passes any more, either way, and neither side is told. */
  isSilent: boolean;
}

/** A proxy before one target. */
export class LinkProxy {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #joined = new Set<Joined>();
  #harm: LinkHarm = SOUND;

  /**
   * @param targetPort - Port of the target on this machine.
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#join(caller));
  }

  /**
   * Begins to listen.
   *
   * @returns The proxy's port.
   */
  async open(): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(0, LOOPBACK, resolve));
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  /**
   * Harms the link from now on.
   *
   * @param harm - What is wrong with it.
   */
  harm(harm: Partial<LinkHarm>): void {
    this.#harm = { ...this.#harm, ...harm };
  }

  /** Makes the link sound again; what was held back passes. */
  heal(): void {
    this.#harm = SOUND;
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) {
      cutConnection(socket);
    }
  }

  /** Lets nothing pass on the connections that are open now, without a word; new ones are sound. */
  silence(): void {
    for (const joined of this.#joined) {
      joined.isSilent = true;
    }
  }

  /** Ends the proxy. */
  close(): void {
    this.#server.close();
    this.reset();
  }

  #join(caller: Socket): void {
    const target = connect(this.#targetPort, LOOPBACK);
    const joined: Joined = { isSilent: false };
    this.#joined.add(joined);
    caller.on("close", () => this.#joined.delete(joined));
    this.#pass({ from: caller, to: target, joined }, () => this.#harm.holdsRequests);
    this.#pass({ from: target, to: caller, joined }, () => this.#harm.holdsAnswers);
  }

  #pass({ from, to, joined }: Passage, isHeld: () => boolean): void {
    this.#sockets.add(from);
    let last = Promise.resolve();
    const inOrder = (write: () => void): void => {
      last = last
        .then(() => this.#wait(isHeld))
        .then(() => {
          if (!joined.isSilent) {
            write();
          }
        });
    };
    from.on("data", (data: Buffer) => inOrder(() => !to.destroyed && to.write(data)));
    from.on("end", () => inOrder(() => to.end()));
    from.on("error", () => cutConnection(to));
    from.on("close", () => this.#sockets.delete(from));
  }

  async #wait(isHeld: () => boolean): Promise<void> {
    const { delayMs } = this.#harm;
    if (delayMs > 0) {
      await pauseMs(delayMs);
    }
    while (isHeld()) {
      await pauseMs(LOOK_EVERY_MS);
    }
  }
}

/** One way of a connection. */
interface Passage {
  readonly from: Socket;
  readonly to: Socket;
  readonly joined: Joined;
}

/**
 * Resets a connection. One that is being ended is closed without a reset: libuv refuses that, and Node
 * then never lets go of its handle, so that the process spins for ever when it ends.
 *
 * @param socket - The connection.
 */
export function cutConnection(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

function pauseMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
