import { createServer } from "node:http";
import type { Socket } from "node:net";
import t from "tap";
import { LEAF_HEADERS } from "../platform/mod.js";
import { delay, waitUntil } from "../standins/waiting.js";
import { LOOPBACK, leafCall, makeLeafCalls, portOf, sendCall } from "./_leaf_call_harness.js";

/**
 * Longer than the time after which an unanswered connection means that others may be dead, in
 * milliseconds.
 */
const UNRESPONSIVE_MS = 700;

t.test("withdraw() cancels a call that waits for a connection, and no other", async (t) => {
  const requestIds: Array<string> = [];
  const open: Array<() => void> = [];
  const server = createServer((request, response) => {
    const requestId = String(request.headers[LEAF_HEADERS.requestId]);
    requestIds.push(requestId);
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
  await waitUntil(async () => requestIds.length === 1, "a call has reached the leaf");
  sent[0]?.withdraw();
  sent[1]?.withdraw();
  t.same(ends, ["r2 failed"], "the pending call has ended immediately");
  open[0]?.();
  await waitUntil(async () => requestIds.length === 2, "the next call has reached the leaf");
  t.same(requestIds, ["r1", "r3"], "the withdrawn call never reached the leaf");
  open[1]?.();
  await waitUntil(async () => ends.length === 3, "all calls have ended");
  t.same(ends.slice(1), ["r1 answered", "r3 answered"]);
});

t.test("a call opens a new connection if the existing ones may be dead", async (t) => {
  const unresponsive = new Set<Socket>();
  const known = new Set<Socket>();
  let unanswered = 0;
  const server = createServer((request, response) => {
    if (unresponsive.has(request.socket)) {
      unanswered += 1;
      return;
    }
    const requestId = String(request.headers[LEAF_HEADERS.requestId]);
    // Slow enough that two concurrent calls need two connections.
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
  t.equal(known.size, 2, "two connections are open");
  for (const socket of known) {
    unresponsive.add(socket);
  }
  const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
  await waitUntil(async () => unanswered === 1, "a call hangs on an unresponsive connection");
  await delay(UNRESPONSIVE_MS);
  const outcome = await sendCall(calls, port, { leftMs: 60_000 });
  t.equal(outcome.kind, "answered", "the next call is not sent on the other connection");
  hung.abandon();
});

t.test(
  "a pending call fails without being sent if nothing is received from its leaf",
  async (t) => {
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    t.teardown(() => server.close());
    t.teardown(() => server.closeAllConnections());
    const calls = makeLeafCalls(1);
    const port = portOf(server);
    const hung = calls.send(leafCall(port, { leftMs: 60_000 }), () => undefined);
    await delay(UNRESPONSIVE_MS);
    const outcome = await sendCall(calls, port, { leftMs: 60_000 });
    t.match(outcome, { kind: "failed", sent: false });
    hung.abandon();
  },
);

t.test("a call stays pending while its leaf answers others", async (t) => {
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
