import { createServer, type Server } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import t from "tap";
import type { Leaf } from "../leafs/mod.js";
import { LEAF_HEADERS } from "../platform/mod.js";
import type { AttemptOutcome } from "../request/mod.js";
import { pause, until } from "../standins/waiting.js";
import type { LeafCall } from "./leaf_call.js";
import { LeafCalls } from "./leaf_calls.js";

const LOOPBACK = "127.0.0.1";

/** Longer than a connection may be without an answer before others are doubted, in milliseconds. */
const SILENT_MS = 700;

function leafAt(port: number): Leaf {
  return {
    leafId: "i-1",
    service: "s",
    address: LOOPBACK,
    port,
    dataCentre: "a",
    slots: 2,
    draining: false,
    warmingForMs: 0,
  };
}

function portOf(server: Pick<Server, "address">): number {
  const bound = server.address();
  return typeof bound === "object" && bound !== null ? bound.port : 0;
}

function makeCalls(connections = 2): LeafCalls {
  return new LeafCalls({
    nowMs: () => performance.now(),
    connectionsTo: () => connections,
    onEnd: () => undefined,
  });
}

interface CallOptions {
  readonly requestId?: string;
  readonly leftMs?: number;
  readonly repeatable?: boolean;
}

function leafCall(
  port: number,
  { requestId = "r1", leftMs = 1_000, repeatable = true }: CallOptions = {},
): LeafCall {
  return {
    leaf: leafAt(port),
    requestId,
    method: "GET",
    path: "/x",
    headers: ["Host", "h", LEAF_HEADERS.requestId, requestId],
    body: undefined,
    repeatable,
    deadlineAtMs: performance.now() + leftMs,
  };
}

function call(calls: LeafCalls, port: number, options: CallOptions = {}): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    calls.send(leafCall(port, options), resolve);
  });
}

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
  const calls = makeCalls();
  for (const requestId of ["r1", "r2", "r3"]) {
    const outcome = await call(calls, portOf(server), { requestId });
    t.match(outcome, { kind: "answered", answer: { statusCode: 200, signature: "stamp" } });
    t.equal(outcome.kind === "answered" && outcome.answer.body.toString(), "i-1");
  }
  t.equal(connections, 1);
  calls.forgetUnknown(() => false);
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
  const calls = makeCalls(1);
  const port = portOf(server);
  await Promise.all([
    call(calls, port, { leftMs: 1_000 }),
    call(calls, port, { requestId: "r2", leftMs: 1_000 }),
  ]);
  t.ok((told[0] ?? 0) > 900, `first told ${told[0]}`);
  t.ok((told[1] ?? 0) <= 800, `second told ${told[1]}`);
  calls.forgetUnknown(() => false);
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
  const calls = makeCalls();
  const outcome = await call(calls, portOf(server));
  t.match(outcome, { kind: "failed", sent: true, reason: "answer to another request" });
  calls.forgetUnknown(() => false);
});

t.test("a connection with bytes that no call is owed carries no further call", async (t) => {
  let answers = 0;
  const server = await bytesServer((text) => {
    answers += 1;
    const id = new RegExp(`${LEAF_HEADERS.requestId}: (\\S+)`, "i").exec(text)?.[1] ?? "";
    return answers === 1 ? answerText(id, "a") + answerText(id, "b") : answerText(id, "c");
  });
  t.teardown(() => server.close());
  const calls = makeCalls();
  const first = await call(calls, portOf(server), { requestId: "r1" });
  t.equal(first.kind === "answered" && first.answer.body.toString(), "a");
  const second = await call(calls, portOf(server), { requestId: "r2" });
  t.equal(second.kind === "answered" && second.answer.body.toString(), "c");
  calls.forgetUnknown(() => false);
});

t.test("a leaf that takes no connection fails a call as not sent", async (t) => {
  const server = await bytesServer(() => "");
  const port = portOf(server);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.match(await call(makeCalls(), port), { kind: "failed", sent: false });
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
    const outcome = await call(makeCalls(), portOf(server));
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
  const calls = makeCalls(1);
  t.match(await call(calls, portOf(server), { repeatable: false }), { kind: "answered" });
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.match(await call(calls, portOf(server), { repeatable: true }), { kind: "answered" });
  t.equal(connections, 1, "one that may be sent again takes the connection that is there");
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.match(await call(calls, portOf(server), { repeatable: false }), { kind: "answered" });
  t.equal(connections, 2, "the other one takes a new connection, within the share");
});

t.test("withdraw() takes back a call that waits for a connection, and no other", async (t) => {
  const asked: Array<string> = [];
  const open: Array<() => void> = [];
  const server = createServer((request, response) => {
    const requestId = String(request.headers[LEAF_HEADERS.requestId]);
    asked.push(requestId);
    open.push(() => {
      response.setHeader(LEAF_HEADERS.requestId, requestId);
      response.setHeader(LEAF_HEADERS.signature, "stamp");
      response.end("x");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeCalls(1);
  const ends: Array<string> = [];
  const sent = ["r1", "r2", "r3"].map((requestId) => {
    return calls.send(leafCall(portOf(server), { requestId }), ({ kind }) => {
      ends.push(`${requestId} ${kind}`);
    });
  });
  await until(async () => asked.length === 1, "a call has reached the leaf");
  sent[0]?.withdraw();
  sent[1]?.withdraw();
  t.same(ends, ["r2 failed"], "the one that waited has ended at once");
  open[0]?.();
  await until(async () => asked.length === 2, "the next call has reached the leaf");
  t.same(asked, ["r1", "r3"], "it never reached the leaf");
  open[1]?.();
  await until(async () => ends.length === 3, "all calls have ended");
  t.same(ends.slice(1), ["r1 answered", "r3 answered"]);
});

t.test(
  "a call takes a new connection where those that are open may have gone silent",
  async (t) => {
    const silent = new Set<Socket>();
    const known = new Set<Socket>();
    let unanswered = 0;
    const server = createServer((request, response) => {
      if (silent.has(request.socket)) {
        unanswered += 1;
        return;
      }
      const requestId = String(request.headers[LEAF_HEADERS.requestId]);
      // Slow enough that two calls at a time need two connections.
      setTimeout(() => {
        response.setHeader(LEAF_HEADERS.requestId, requestId);
        response.setHeader(LEAF_HEADERS.signature, "stamp");
        response.end("x");
      }, 50);
    });
    server.on("connection", (socket) => known.add(socket));
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => server.close());
    t.teardown(() => server.closeAllConnections());
    const calls = makeCalls(3);
    const port = portOf(server);
    await Promise.all([call(calls, port), call(calls, port)]);
    t.equal(known.size, 2, "two connections are kept");
    for (const socket of known) {
      silent.add(socket);
    }
    const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
    await until(async () => unanswered === 1, "a call hangs on a silent connection");
    await pause(SILENT_MS);
    const outcome = await call(calls, port, { leftMs: 60_000 });
    t.equal(outcome.kind, "answered", "the next one does not go out on the other");
    hung.abandon();
  },
);

t.test("a call is given up, unsent, where its leaf is not heard of while it waits", async (t) => {
  const server = createServer(() => undefined);
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeCalls(1);
  const port = portOf(server);
  const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
  await pause(SILENT_MS);
  const outcome = await call(calls, port, { leftMs: 60_000 });
  t.match(outcome, { kind: "failed", sent: false });
  hung.abandon();
});

t.test("a call goes on waiting where its leaf answers others meanwhile", async (t) => {
  const server = createServer((request, response) => {
    const requestId = String(request.headers[LEAF_HEADERS.requestId]);
    setTimeout(() => {
      response.setHeader(LEAF_HEADERS.requestId, requestId);
      response.setHeader(LEAF_HEADERS.signature, "stamp");
      response.end("x");
    }, 150);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeCalls(1);
  const port = portOf(server);
  const outcomes = await Promise.all(
    Array.from({ length: 6 }, () => call(calls, port, { leftMs: 60_000 })),
  );
  t.same(new Set(outcomes.map(({ kind }) => kind)), new Set(["answered"]));
});
