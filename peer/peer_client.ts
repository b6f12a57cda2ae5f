/**
 * Calls to other daemons.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { PeerAddress } from "../control/mod.js";
import { PeerService } from "./gen/rackvale/peer/v1/peer_pb.js";

/** Time another daemon has for an answer, in milliseconds. */
export const PEER_ANSWER_MS = 1_000;

/** Time without use after which a connection is closed, in milliseconds. */
const IDLE_MS = 30_000;

/** Time between two pings on a connection in use, in milliseconds. */
const PING_EVERY_MS = 1_000;

/** Time without a byte from the other daemon, pings unanswered, after which a connection counts as cut, in milliseconds. */
const SILENT_MS = 3_000;

/**
 * Time that the library waits for the answer to a ping, in milliseconds. Longer than any connection
 * lives: when it runs out, the library ends the session with an error that nothing listens to any
 * more, which ends the process. `closeWhenSilent` sees to it before.
 */
const LIBRARY_PING_ANSWER_MS = 86_400_000;

/** A client of one daemon. */
export interface PeerClient {
  readonly rpc: Client<typeof PeerService>;
  /** Ends the connection. */
  close(): void;
}

/**
 * Makes a client of a daemon; it connects when it is first used.
 *
 * @param peer - Where the daemon is reached.
 * @returns The client.
 */
export function peerClient({ address, peerPort }: PeerAddress): PeerClient {
  const host = address.includes(":") ? `[${address}]` : address;
  const baseUrl = `http://${host}:${peerPort}`;
  const sessionManager = new Http2SessionManager(
    baseUrl,
    {
      idleConnectionTimeoutMs: IDLE_MS,
      pingIntervalMs: PING_EVERY_MS,
      pingTimeoutMs: LIBRARY_PING_ANSWER_MS,
    },
    // Small messages must not wait for those before them to be acknowledged.
    {
      createConnection: () => {
        return closeWhenSilent(connect({ host: address, port: peerPort, noDelay: true }));
      },
    },
  );
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager,
    // Within a data centre compressing costs more than the bytes it saves.
    acceptCompression: [],
  });
  return { rpc: createClient(PeerService, transport), close: () => sessionManager.abort() };
}

/** Closes a connection on which bytes go out, pings at least, and none come in. */
function closeWhenSilent(socket: Socket): Socket {
  let read = 0;
  let writtenThen = 0;
  let silentMs = 0;
  const timer = setInterval(() => {
    const hears = socket.bytesRead > read;
    const asks = socket.bytesWritten > writtenThen;
    silentMs = hears || (silentMs === 0 && !asks) ? 0 : silentMs + PING_EVERY_MS;
    read = socket.bytesRead;
    writtenThen = socket.bytesWritten;
    if (silentMs >= SILENT_MS) {
      socket.destroy();
    }
  }, PING_EVERY_MS);
  timer.unref();
  socket.once("close", () => clearInterval(timer));
  return socket;
}
