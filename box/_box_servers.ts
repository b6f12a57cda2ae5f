/**
 * The HTTP servers of a box: their start, what is open on them, and their end in a planned stop.
 *
 * @module
 */
import { type ConnectionCounts, listen } from "../http/mod.js";
import type { AuxiliaryServers, ServerAtPort } from "./auxiliary_servers.js";

/** Options of {@link BoxServers}. */
export interface BoxServersOptions {
  /** The server for callers' requests. */
  readonly callers: ServerAtPort;
  readonly auxiliary: AuxiliaryServers;
}

/** The HTTP servers of a box. */
export class BoxServers {
  readonly #callers: ServerAtPort;
  readonly #peers: ServerAtPort;
  readonly #all: ReadonlyArray<ServerAtPort>;

  /**
   * @param options - The servers, not listening yet.
   */
  constructor({ callers, auxiliary: { peers, others } }: BoxServersOptions) {
    this.#callers = callers;
    this.#peers = peers;
    this.#all = [callers, peers, ...others];
  }

  /** The server for callers' requests. */
  get callerServer(): ServerAtPort["server"] {
    return this.#callers.server;
  }

  /**
   * Starts all servers.
   *
   * @param address - IP address to listen on.
   * @throws Error if an address cannot be bound.
   */
  async listen(address: string): Promise<void> {
    await Promise.all(this.#all.map(({ server, port }) => listen(server, { address, port })));
  }

  /**
   * Accepts no further connections of callers, after accepting and reading what has already
   * arrived; those with a request begun stay open.
   */
  async stopAcceptingCallers(): Promise<void> {
    await this.#callers.connections.stopAccepting();
  }

  /** Closes the connections of callers on which no request has been begun. */
  closeIdleCallers(): void {
    this.#callers.connections.closeIdle();
  }

  /** Counts the requests of callers and other boxes that have been begun and not been answered completely. */
  countOpen(): number {
    const { openRequests } = this.#peers.connections.counts();
    return this.#callers.connections.counts().busy + openRequests;
  }

  /** Counts what is open on the connections of callers. */
  callerCounts(): ConnectionCounts {
    return this.#callers.connections.counts();
  }

  /**
   * Closes all servers and connections, once the responses that have ended are written completely.
   * Nothing is read any more afterwards.
   *
   * @param timeoutMs - Time after which connections are closed in any case, in milliseconds.
   * @returns What was open on the connections of callers when they were closed.
   */
  async close(timeoutMs: number): Promise<ConnectionCounts> {
    const lost = this.#callers.connections.close({ timeoutMs });
    const others = this.#all.filter((each) => each !== this.#callers);
    await Promise.all(others.map(({ connections }) => connections.close({ timeoutMs })));
    return lost;
  }
}
