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

t.test("send() returns the leaf's complete answer and keeps the connection open", async (t) => {
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

t.test("a call that waits for a connection reports the time left when it is sent", async (t) => {
  const reportedMs: Array<number> = [];
  const server = createServer((request, response) => {
    reportedMs.push(Number(request.headers[LEAF_HEADERS.leftMs]));
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
  t.ok((reportedMs[0] ?? 0) > 900, `first reported ${reportedMs[0]}`);
  t.ok((reportedMs[1] ?? 0) <= 800, `second reported ${reportedMs[1]}`);
  setLeafs(calls, []);
});

/** Starts a server that answers each request with the given bytes. */
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

t.test("an answer to another request is rejected", async (t) => {
  const server = await bytesServer(() => answerText("other", "wrong"));
  t.teardown(() => server.close());
  const calls = makeLeafCalls();
  const outcome = await sendCall(calls, portOf(server));
  t.match(outcome, { kind: "failed", sent: true, reason: "answer to another request" });
  setLeafs(calls, []);
});

t.test("a connection with unexpected bytes is not reused", async (t) => {
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

t.test("a call to a leaf at an invalid address fails as not sent", async (t) => {
  const outcome = await sendCall(makeLeafCalls(), 70_000);
  t.match(outcome, { kind: "failed", sent: false });
});

t.test("a call to a leaf that refuses connections fails as not sent", async (t) => {
  const server = await bytesServer(() => "");
  const port = portOf(server);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.match(await sendCall(makeLeafCalls(), port), { kind: "failed", sent: false });
});

const CONNECTION_ENDS: Readonly<Record<string, (socket: Socket, sent: string) => void>> = {
  end: (socket, sent) => socket.write(sent, () => setTimeout(() => socket.end(), 20)),
  reset: (socket, sent) => socket.write(sent, () => setTimeout(() => socket.resetAndDestroy(), 20)),
  // Libuv reports a plain end if it reads the bytes and the reset together.
  "immediate reset": (socket, sent) => socket.write(sent, () => socket.resetAndDestroy()),
};

t.test(
  "an answer without a length is complete if its connection ends, not if it is reset",
  async (t) => {
    const head = `${answerHead("r1")}\r\nhalf`;
    for (const [ending, closeSocket] of Object.entries(CONNECTION_ENDS)) {
      const server = createTcpServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => closeSocket(socket, head));
      });
      await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
      t.teardown(() => server.close());
      const outcome = await sendCall(makeLeafCalls(), portOf(server));
      t.equal(outcome.kind, ending === "end" ? "answered" : "failed", ending);
    }
  },
);

t.test("a non-repeatable call is not sent on a connection that has been idle", async (t) => {
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
  t.equal(connections, 1, "a repeatable call reuses the connection");
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.match(await sendCall(calls, portOf(server), { repeatable: false }), { kind: "answered" });
  t.equal(connections, 2, "a non-repeatable call opens a new connection, within the limit");
});

t.test("a call of a query that crashed leafs is not sent unless it is a trial call", async (t) => {
  const quarantine = makeQuarantine();
  const calls = makeLeafCalls(2, quarantine);
  const received: Array<string> = [];
  const server = createServer((request, response) => {
    received.push(String(request.headers["x-request-id"]));
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
  t.same(received, ["first", "trial-1", "trial-2"]);
});

t.test("pending calls are withdrawn when their query crashes a leaf", async (t) => {
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
  const pending = send("waiting", "q");
  await new Promise((resolve) => setTimeout(resolve, 50));
  quarantine.recordCrash({ fingerprint: "q", isTrial: false });
  calls.withdrawBlocked("q");
  t.match(await pending, { kind: "failed", sent: false });
  server.closeAllConnections();
  t.match(await running, { sent: true });
  setLeafs(calls, []);
});

// Guards against unbounded memory use by an endless answer.
t.test("an endless answer is aborted and its connection closed", async (t) => {
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
  t.ok(sentBytes < 64 * piece.length, `the leaf sent ${sentBytes} bytes`);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.ok(isClosed, "the connection is closed");
});
