import { createServer } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import t from "tap";
import { LEAF_HEADERS } from "../platform/mod.js";
import {
  LOOPBACK,
  leafCall,
  makeLeafCalls,
  makeQuarantine,
  portOf,
  sendCall,
  setLeafs,
} from "./_leaf_call_harness.js";

t.test("send() gives the leaf's whole answer and keeps the connection", async (t) => {
  let connections = 0;
  const server = createServer((request, response) => {
    response.setHeader(LEAF_HEADERS.requestId, String(request.headers[LEAF_HEADERS.requestId]));
    response.setHeader(LEAF_HEADERS.signature, "stamp");
    response.end(String(request.headers[LEAF_HEADERS.expectedLeaf]));
  });
  server.on("connection", () => {
    connections += 1;
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeLeafCalls();
  for (const requestId of ["r1", "r2", "r3"]) {
    const outcome = await sendCall(calls, portOf(server), { requestId });
    t.match(outcome, { kind: "answered", answer: { statusCode: 200, signature: "stamp" } });
    t.equal(outcome.kind === "answered" && outcome.answer.body.toString(), "i-1");
  }
  t.equal(connections, 1);
  setLeafs(calls, []);
});

t.test("a call that waits for a connection tells the time left when it is sent", async (t) => {
  const told: Array<number> = [];
  const server = createServer((request, response) => {
    told.push(Number(request.headers[LEAF_HEADERS.leftMs]));
    response.setHeader(LEAF_HEADERS.requestId, String(request.headers[LEAF_HEADERS.requestId]));
    setTimeout(() => response.end(), 200);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeLeafCalls(1);
  const port = portOf(server);
  await Promise.all([
    sendCall(calls, port, { leftMs: 1_000 }),
    sendCall(calls, port, { requestId: "r2", leftMs: 1_000 }),
  ]);
  t.ok((told[0] ?? 0) > 900, `first told ${told[0]}`);
  t.ok((told[1] ?? 0) <= 800, `second told ${told[1]}`);
  setLeafs(calls, []);
});

/** A server that answers each request with fixed bytes. */
async function bytesServer(answer: (requestText: string) => string) {
  const server = createTcpServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (data: Buffer) => {
      socket.write(answer(data.toString()));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return server;
}

function answerHead(requestId: string): string {
  const { requestId: idHeader, signature } = LEAF_HEADERS;
  return `HTTP/1.1 200 OK\r\n${idHeader}: ${requestId}\r\n${signature}: s\r\n`;
}

function answerText(requestId: string, body: string): string {
  return `${answerHead(requestId)}Content-Length: ${body.length}\r\n\r\n${body}`;
}

t.test("an answer to another request is never taken", async (t) => {
  const server = await bytesServer(() => answerText("other", "wrong"));
  t.teardown(() => server.close());
  const calls = makeLeafCalls();
  const outcome = await sendCall(calls, portOf(server));
  t.match(outcome, { kind: "failed", sent: true, reason: "answer to another request" });
  setLeafs(calls, []);
});

t.test("a connection with bytes that no call is owed carries no further call", async (t) => {
  let answers = 0;
  const server = await bytesServer((text) => {
    answers += 1;
    const id = new RegExp(`${LEAF_HEADERS.requestId}: (\\S+)`, "i").exec(text)?.[1] ?? "";
    return answers === 1 ? answerText(id, "a") + answerText(id, "b") : answerText(id, "c");
  });
  t.teardown(() => server.close());
  const calls = makeLeafCalls();
  const first = await sendCall(calls, portOf(server), { requestId: "r1" });
  t.equal(first.kind === "answered" && first.answer.body.toString(), "a");
  const second = await sendCall(calls, portOf(server), { requestId: "r2" });
  t.equal(second.kind === "answered" && second.answer.body.toString(), "c");
  setLeafs(calls, []);
});

t.test("a leaf that takes no connection fails a call as not sent", async (t) => {
  const server = await bytesServer(() => "");
  const port = portOf(server);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.match(await sendCall(makeLeafCalls(), port), { kind: "failed", sent: false });
});

const CONNECTION_ENDS: Readonly<Record<string, (socket: Socket, sent: string) => void>> = {
  end: (socket, sent) => socket.write(sent, () => setTimeout(() => socket.end(), 20)),
  reset: (socket, sent) => socket.write(sent, () => setTimeout(() => socket.resetAndDestroy(), 20)),
  // Bytes and reset are seen together then, which libuv reports as a plain end.
  "reset at once": (socket, sent) => socket.write(sent, () => socket.resetAndDestroy()),
};

t.test("an answer without a length counts when it ends, not when it is reset", async (t) => {
  const head = `${answerHead("r1")}\r\nhalf`;
  for (const [end, finish] of Object.entries(CONNECTION_ENDS)) {
    const server = createTcpServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", () => finish(socket, head));
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => server.close());
    const outcome = await sendCall(makeLeafCalls(), portOf(server));
    t.equal(outcome.kind, end === "end" ? "answered" : "failed", end);
  }
});

t.test("a call that must not run twice is not sent on a connection that has rested", async (t) => {
  let connections = 0;
  const server = createServer((request, response) => {
    response.setHeader(LEAF_HEADERS.requestId, String(request.headers[LEAF_HEADERS.requestId]));
    response.end("x");
  });
  server.on("connection", () => {
    connections += 1;
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const calls = makeLeafCalls(1);
  t.match(await sendCall(calls, portOf(server), { repeatable: false }), { kind: "answered" });
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.match(await sendCall(calls, portOf(server), { repeatable: true }), { kind: "answered" });
  t.equal(connections, 1, "one that may be sent again takes the connection that is there");
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.match(await sendCall(calls, portOf(server), { repeatable: false }), { kind: "answered" });
  t.equal(connections, 2, "the other one takes a new connection, within the share");
});

t.test(
  "a call of a query under which leafs were lost is not sent, unless it is the only one",
  async (t) => {
    const quarantine = makeQuarantine();
    const calls = makeLeafCalls(2, quarantine);
    const taken: Array<string> = [];
    const server = createServer((request, response) => {
      taken.push(String(request.headers["x-request-id"]));
      request.socket.destroy();
      response.destroy();
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => server.close());
    const send = (requestId: string, isTrial: boolean) => {
      const query = { ...leafCall(portOf(server), { requestId }), fingerprint: "q", isTrial };
      return new Promise((resolve) => calls.send(query, resolve));
    };
    t.match(await send("first", false), { kind: "failed", sent: true, connectionClosed: true });
    t.match(await send("second", false), {
      kind: "failed",
      sent: false,
      blockReason: { kind: "quarantined" },
    });
    t.match(await send("trial-1", true), { connectionClosed: true });
    t.match(await send("trial-2", true), { connectionClosed: true });
    t.equal(quarantine.permission("q"), "blocked");
    t.same(taken, ["first", "trial-1", "trial-2"]);
  },
);

t.test(
  "calls that wait for a connection are taken back when a leaf is lost under their query",
  async (t) => {
    const quarantine = makeQuarantine();
    const calls = makeLeafCalls(1, quarantine);
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    const send = (requestId: string, fingerprint: string) => {
      const query = { ...leafCall(portOf(server), { requestId }), fingerprint };
      return new Promise((resolve) => calls.send(query, resolve));
    };
    const running = send("running", "q");
    const waiting = send("waiting", "q");
    await new Promise((resolve) => setTimeout(resolve, 50));
    quarantine.recordCrash({ fingerprint: "q", isTrial: false });
    calls.withdrawBlocked("q");
    t.match(await waiting, { kind: "failed", sent: false });
    server.closeAllConnections();
    t.match(await running, { sent: true });
    setLeafs(calls, []);
  },
);

// A leaf's answer was read to its end whatever its length, and held until the request was answered. One query
// whose answer does not end would take all memory of the box that asked, its caller would turn to the next
// box, and so on: the process went from 73 to 1,021 MB within two seconds of such an answer.
t.test("an answer that does not end is given up, and its connection with it", async (t) => {
  const piece = Buffer.alloc(1_048_576);
  let sentBytes = 0;
  let isClosed = false;
  const server = createServer((request, response) => {
    response.on("close", () => {
      isClosed = true;
    });
    response.on("error", () => undefined);
    response.setHeader(LEAF_HEADERS.requestId, String(request.headers[LEAF_HEADERS.requestId]));
    const write = (): void => {
      while (!isClosed && response.write(piece)) {
        sentBytes += piece.length;
      }
      sentBytes += piece.length;
    };
    response.on("drain", write);
    write();
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const calls = makeLeafCalls();
  const outcome = await sendCall(calls, portOf(server), { leftMs: 2_000 });
  t.match(outcome, { kind: "failed", sent: true, reason: "answer is too long" });
  t.ok(sentBytes < 64 * piece.length, `the leaf got rid of ${sentBytes} bytes`);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.ok(isClosed, "the connection is closed");
});
