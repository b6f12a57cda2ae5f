import { connect, createServer, type Socket } from "node:net";
import t from "tap";
import { waitUntil } from "../standins/waiting.js";
import { LinkProxy, resetConnection } from "./link_proxy.js";

const LOOPBACK = "127.0.0.1";

function openSockets(): number {
  return process.getActiveResourcesInfo().filter((kind) => kind === "TCPSocketWrap").length;
}

/** Starts a server that echoes all data. */
async function startEcho() {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => socket.write(data));
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  const stop = (): void => {
    server.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  };
  return { port, stop };
}

function opened(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, LOOPBACK, () => resolve(socket));
    socket.on("error", () => undefined);
  });
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

t.test("resetConnection() releases the handle of a connection that is being ended", async (t) => {
  const echo = await startEcho();
  const before = openSockets();
  const socket = await opened(echo.port);
  socket.write("x");
  socket.end();
  resetConnection(socket);
  echo.stop();
  await sleep(200);
  t.equal(openSockets(), before);
});

t.test("blocked data passes once the faults of the link are cleared", async (t) => {
  const echo = await startEcho();
  const link = new LinkProxy(echo.port);
  const socket = await opened(await link.open());
  const received: Array<string> = [];
  socket.on("data", (data: Buffer) => received.push(data.toString()));
  link.injectFault({ blocksResponses: true });
  socket.write("a");
  await sleep(150);
  t.same(received, []);
  link.clearFaults();
  await new Promise((resolve) => socket.once("data", resolve));
  t.same(received, ["a"]);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  link.reset();
  await closed;
  link.close();
  echo.stop();
});

t.test("stallOpenConnections() stalls open connections and does not affect new ones", async (t) => {
  const echo = await startEcho();
  const link = new LinkProxy(echo.port);
  const port = await link.open();
  const stalled = await opened(port);
  const received: Array<string> = [];
  stalled.on("data", (data) => received.push(`stalled ${data}`));
  stalled.write("a");
  await waitUntil(async () => received.length === 1, "the first connection is answered");
  link.stallOpenConnections();
  stalled.write("b");
  const fresh = await opened(port);
  fresh.on("data", (data) => received.push(`new ${data}`));
  fresh.write("c");
  await waitUntil(async () => received.length === 2, "the new connection is answered");
  t.same(received, ["stalled a", "new c"]);
  t.notOk(stalled.destroyed, "the stalled connection stays open");
  stalled.destroy();
  fresh.destroy();
  link.close();
  echo.stop();
});
