import { createServer } from "node:http";
import type { Socket } from "node:net";
import t from "tap";
import { LEAF_HEADERS } from "../platform/mod.js";
import { pause, until } from "../standins/waiting.js";
import { LOOPBACK, leafCall, makeLeafCalls, portOf, sendCall } from "./_leaf_call_harness.js";

/** Longer than a connection may be without an answer before others are doubted, in milliseconds. */
const SILENT_MS = 700;

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
  const calls = makeLeafCalls(1);
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
    const calls = makeLeafCalls(3);
    const port = portOf(server);
    await Promise.all([sendCall(calls, port), sendCall(calls, port)]);
    t.equal(known.size, 2, "two connections are kept");
    for (const socket of known) {
      silent.add(socket);
    }
    const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
    await until(async () => unanswered === 1, "a call hangs on a silent connection");
    await pause(SILENT_MS);
    const outcome = await sendCall(calls, port, { leftMs: 60_000 });
    t.equal(outcome.kind, "answered", "the next one does not go out on the other");
    hung.abandon();
  },
);

t.test("a call is given up, unsent, where its leaf is not heard of while it waits", async (t) => {
  const server = createServer(() => undefined);
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const calls = makeLeafCalls(1);
  const port = portOf(server);
  const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
  await pause(SILENT_MS);
  const outcome = await sendCall(calls, port, { leftMs: 60_000 });
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
  const calls = makeLeafCalls(1);
  const port = portOf(server);
  const outcomes = await Promise.all(
    Array.from({ length: 6 }, () => sendCall(calls, port, { leftMs: 60_000 })),
  );
  t.same(new Set(outcomes.map(({ kind }) => kind)), new Set(["answered"]));
});
