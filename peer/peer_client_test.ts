// Guards against a daemon that ends because the connection to a peer that stops fails after its client
// has been closed.
import { createServer, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import t from "tap";
import { delay } from "../standins/waiting.js";
import { PeerService } from "./gen/rackvale/peer/v1/peer_pb.js";
import { peerClient } from "./peer_client.js";

/** Turns of the event loop between the peer's GOAWAY frame and the end of the client. */
const MAX_TURNS = 8;

async function waitTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

t.test("a client that is closed while its peer stops raises no error", async (t) => {
  const routes = connectNodeAdapter({
    routes: (router) => router.service(PeerService, { drain: () => ({}) }),
  });
  const server = createServer(routes);
  const sessions: Array<ServerHttp2Session> = [];
  server.on("session", (session) => sessions.push(session));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  for (let turns = 0; turns <= MAX_TURNS; turns++) {
    const client = peerClient({ address: "127.0.0.1", peerPort: port });
    await client.rpc.drain({});
    sessions.at(-1)?.close();
    await waitTurns(turns);
    client.close();
    await delay(20);
  }
  t.pass("no error was left unhandled");
});
