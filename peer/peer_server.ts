/**
 * Server for calls from other daemons.
 *
 * @module
 */
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import { setTimeout as delay } from "node:timers/promises";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { PeerService } from "./gen/rackvale/peer/v1/peer_pb.js";

/** Maximum size of a message from another daemon, in bytes. */
const MAX_MESSAGE_BYTES = 16_000_000;

/** Interval of checks whether all sessions have closed, in milliseconds. */
const CLOSE_CHECK_INTERVAL_MS = 10;

/** A listening peer server. */
export interface PeerServer {
  readonly port: number;
  /**
   * Stops listening, lets calls in progress end, and closes all sessions.
   *
   * @param options - Time after which sessions are closed in any case, in milliseconds.
   */
  finish(options: { readonly timeoutMs: number }): Promise<void>;
}

/** Address that a server listens on. */
export interface ListenAddress {
  readonly address: string;
  /** TCP port; 0 for any free port. */
  readonly port: number;
}

/**
 * Starts a server for calls from other daemons.
 *
 * @param service - The implemented methods; calls to other methods fail as unimplemented.
 * @param address - Address to listen on.
 * @returns The server, once it is listening.
 */
export async function listenForPeers(
  service: Partial<ServiceImpl<typeof PeerService>>,
  { address, port }: ListenAddress,
): Promise<PeerServer> {
  const handler = connectNodeAdapter({
    acceptCompression: [],
    routes: (router) => {
      router.service(PeerService, service, { readMaxBytes: MAX_MESSAGE_BYTES });
    },
  });
  const server = createServer(handler);
  const sessions = new Set<ServerHttp2Session>();
  server.on("connection", (socket) => socket.setNoDelay(true));
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => session.destroy());
  });
  await listen(server, { address, port });
  return {
    port: portOf(server),
    finish: async ({ timeoutMs }) => {
      const giveUpAtMs = performance.now() + timeoutMs;
      server.close();
      for (const session of sessions) {
        session.close();
      }
      while (sessions.size > 0 && performance.now() < giveUpAtMs) {
        await delay(CLOSE_CHECK_INTERVAL_MS);
      }
      for (const session of sessions) {
        session.destroy();
      }
    },
  };
}

function listen(server: Http2Server, { address, port }: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => resolve());
  });
}

function portOf(server: Http2Server): number {
  const bound = server.address();
  return typeof bound === "object" && bound !== null ? bound.port : 0;
}
