import { connect, createServer, type Socket } from "node:net";
import t from "tap";
import { until } from "../standins/waiting.js";
import { cutConnection, LinkProxy } from "./link_proxy.js";

const LOOPBACK = "127.0.0.1";

function openSockets(): number {
  return process.getActiveResourcesInfo().filter((kind) => kind === "TCPSocketWrap").length;
}

/** Starts a server that answers each piece of data with the same. */
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

function pauseMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

t.test("cutConnection() lets go of a connection that is just being ended", async (t) => {
  const echo = await startEcho();
  const before = openSockets();
  const socket = await opened(echo.port);
  socket.write("x");
  socket.end();
  cutConnection(socket);
  echo.stop();
  await pauseMs(200);
  t.equal(openSockets(), before);
});

t.test("a link holds back one way and passes what it held when it is sound again", async (t) => {
  const echo = await startEcho();
  const link = new LinkProxy(echo.port);
  const socket = await opened(await link.open());
  const heard: Array<string> = [];
  socket.on("data", (data: Buffer) => heard.push(data.toString()));
  link.harm({ holdsAnswers: true });
  socket.write("a");
  await pauseMs(150);
  t.same(heard, []);
  link.heal();
  await new Promise((resolve) => socket.once("data", resolve));
  t.same(heard, ["a"]);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  link.reset();
  await closed;
  link.close();
  echo.stop();
});

t.test("silence() ends what passes on open connections, and new ones are sound", async (t) => {
  const echo = await startEcho();
  const link = new LinkProxy(echo.port);
  const port = await link.open();
  const old = await opened(port);
  const heard: Array<string> = [];
  old.on("data", (data) => heard.push(`old ${data}`));
  old.write("a");
  await until(async () => heard.length === 1, "the first is answered");
  link.silence();
  old.write("b");
  const fresh = await opened(port);
  fresh.on("data", (data) => heard.push(`new ${data}`));
  fresh.write("c");
  await until(async () => heard.length === 2, "the new connection is answered");
  t.same(heard, ["old a", "new c"]);
  t.notOk(old.destroyed, "the old one is not told");
  old.destroy();
  fresh.destroy();
  link.close();
  echo.stop();
});
