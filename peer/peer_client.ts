/**
 * Client for calls to other daemons.
 *
 * @module
 */
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";
import { connect, type Socket } from "node:net";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { PeerAddress } from "../control/mod.js";
import { PeerService } from "./gen/rackvale/peer/v1/peer_pb.js";

/** Timeout for the answer of another daemon, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 30_000;

/** Interval of pings on a connection in use, in milliseconds. */
const PING_INTERVAL_MS = 1_000;

/** Time without received data, despite pings, after which a connection is closed, in milliseconds. */
const UNRESPONSIVE_TIMEOUT_MS = 3_000;

/**
 * Ping timeout of the library, in milliseconds. It is too long to ever expire: on expiry, the library
 * destroys the session with an error that has no listener, which would end the process.
 * `closeWhenUnresponsive` closes the connection instead.
 */
const LIBRARY_PING_TIMEOUT_MS = 86_400_000;

/** A client for one daemon. */
export interface PeerClient {
  readonly rpc: Client<typeof PeerService>;
  /** Closes the connection. */
  close(): void;
}

/**
 * Creates a client for a daemon. It connects on first use.
 *
 * @param peer - Address of the daemon.
 * @returns The client.
 */
export function peerClient({ address, peerPort }: PeerAddress): PeerClient {
  const host = address.includes(":") ? `[${address}]` : address;
  const baseUrl = `http://${host}:${peerPort}`;
  const sessionManager = new PeerSessionManager(
    baseUrl,
    {
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: LIBRARY_PING_TIMEOUT_MS,
    },
    // noDelay: a small message must not wait until earlier ones are acknowledged.
    {
      createConnection: () => {
        return closeWhenUnresponsive(connect({ host: address, port: peerPort, noDelay: true }));
      },
    },
  );
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager,
    // Compression costs more than it saves within a data centre.
    acceptCompression: [],
  });
  return { rpc: createClient(PeerService, transport), close: () => sessionManager.abort() };
}

/**
 * Session manager that leaves an error listener on each session. The library removes its own when
 * the manager is closed, and an error of the session after that would end the process.
 */
class PeerSessionManager extends Http2SessionManager {
  readonly #guarded = new WeakSet<ClientHttp2Session>();

  override async request(
    ...args: Parameters<Http2SessionManager["request"]>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args);
    const { session } = stream;
    if (session !== undefined && !this.#guarded.has(session as ClientHttp2Session)) {
      this.#guarded.add(session as ClientHttp2Session);
      // The library reports errors of open streams to their callers.
      session.on("error", () => undefined);
    }
    return stream;
  }
}

/** Closes a connection that sends data, such as pings, but receives none. */
function closeWhenUnresponsive(socket: Socket): Socket {
  let lastBytesRead = 0;
  let lastBytesWritten = 0;
  let unresponsiveMs = 0;
  const timer = setInterval(() => {
    const hasReceived = socket.bytesRead > lastBytesRead;
    const hasSent = socket.bytesWritten > lastBytesWritten;
    unresponsiveMs =
      hasReceived || (unresponsiveMs === 0 && !hasSent) ? 0 : unresponsiveMs + PING_INTERVAL_MS;
    lastBytesRead = socket.bytesRead;
    lastBytesWritten = socket.bytesWritten;
    if (unresponsiveMs >= UNRESPONSIVE_TIMEOUT_MS) {
      socket.destroy();
    }
  }, PING_INTERVAL_MS);
  timer.unref();
  socket.once("close", () => clearInterval(timer));
  return socket;
}
