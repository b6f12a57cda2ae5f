// A leaf may start again under the id that it had. Its calls went on to the address of its first entry for
// ever; having said once that it is gone it was never asked again; and it was judged by what its former
// incarnation had shown.
//
// What is learnt of a leaf belongs to one incarnation of it.

import { createServer, type Server } from "node:http";
import t, { type Test } from "tap";
import type { Leaf } from "../leafs/mod.js";
import { LEAF_HEADERS } from "../platform/mod.js";
import type { AttemptOutcome } from "../request/mod.js";
import { until } from "../standins/waiting.js";
import {
  LOOPBACK,
  leafAt,
  leafCall,
  makeLeafCalls,
  portOf,
  setLeafs,
} from "./_leaf_call_harness.js";
import type { LeafCalls } from "./leaf_calls.js";

interface TestLeaf {
  readonly server: Server;
  readonly asked: Array<string>;
  /** Ends the connections with the requests that are held. */
  cut(): void;
}

/** A leaf that answers by a status, or holds requests where there is none. */
async function startLeaf(t: Test, statusCode: number | undefined): Promise<TestLeaf> {
  const asked: Array<string> = [];
  const server = createServer((request, response) => {
    const requestId = String(request.headers[LEAF_HEADERS.requestId]);
    asked.push(requestId);
    if (statusCode !== undefined) {
      response.setHeader(LEAF_HEADERS.requestId, requestId);
      response.setHeader(LEAF_HEADERS.signature, "stamp");
      response.writeHead(statusCode).end("x");
    }
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  return { server, asked, cut: () => server.closeAllConnections() };
}

function incarnation(server: Server, bornAtEpochMs: number): Leaf {
  return { ...leafAt(portOf(server)), ...{ bornAtEpochMs } };
}

function ask(calls: LeafCalls, leaf: Leaf, requestId: string): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    calls.send({ ...leafCall(leaf.port, { requestId }), leaf }, resolve);
  });
}

t.test("a leaf that is back at another address is asked there", async (t) => {
  const [before, after] = [await startLeaf(t, 200), await startLeaf(t, 200)];
  const calls = makeLeafCalls();
  setLeafs(calls, [incarnation(before.server, 1)]);
  await ask(calls, incarnation(before.server, 1), "r1");
  setLeafs(calls, [incarnation(after.server, 2)]);
  const outcome = await ask(calls, incarnation(after.server, 2), "r2");
  t.equal(outcome.kind, "answered");
  t.same([before.asked, after.asked], [["r1"], ["r2"]]);
});

t.test("a leaf that said it is gone is judged anew in its next incarnation", async (t) => {
  const leaf = await startLeaf(t, 421);
  const calls = makeLeafCalls();
  setLeafs(calls, [incarnation(leaf.server, 1)]);
  await ask(calls, incarnation(leaf.server, 1), "r1");
  t.equal(calls.health("i-1")?.terminated, true);
  setLeafs(calls, [incarnation(leaf.server, 2)]);
  t.equal(calls.health("i-1"), undefined);
});

t.test(
  "a call that was sent to the former incarnation ends as unknown, and shows nothing of the next",
  async (t) => {
    const leaf = await startLeaf(t, undefined);
    const calls = makeLeafCalls();
    setLeafs(calls, [incarnation(leaf.server, 1)]);
    const held = ask(calls, incarnation(leaf.server, 1), "r1");
    await until(async () => leaf.asked.length === 1, "the call has reached the leaf");
    setLeafs(calls, [incarnation(leaf.server, 2)]);
    leaf.cut();
    t.match(await held, { kind: "failed", sent: true }, "it may have run");
    t.equal(calls.health("i-1"), undefined);
  },
);

t.test("a call that waited for the former incarnation is given up unsent", async (t) => {
  const leaf = await startLeaf(t, undefined);
  const calls = makeLeafCalls(1);
  setLeafs(calls, [incarnation(leaf.server, 1)]);
  void ask(calls, incarnation(leaf.server, 1), "r1");
  await until(async () => leaf.asked.length === 1, "the call has reached the leaf");
  const waiting = ask(calls, incarnation(leaf.server, 1), "r2");
  setLeafs(calls, [incarnation(leaf.server, 2)]);
  t.match(await waiting, { kind: "failed", sent: false });
  t.same(leaf.asked, ["r1"]);
});

t.test("leafs that only other boxes asked leave nothing behind once they are gone", async (t) => {
  const calls = makeLeafCalls();
  const leafs = Array.from({ length: 500 }, (_, index) => ({ ...leafAt(1), leafId: `i-${index}` }));
  setLeafs(calls, leafs);
  for (const { leafId } of leafs) {
    calls.noteRelayed(leafId)("answered");
  }
  setLeafs(calls, []);
  t.same(
    leafs.filter(({ leafId }) => calls.health(leafId) !== undefined),
    [],
  );
});
