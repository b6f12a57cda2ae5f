// Guards against requests that a stalled process aborts although their answers have arrived.
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { request } from "undici";
import { timeoutSignal } from "./timeout_signal.js";

const TIMEOUT_MS = 200;

/** Blocks the event loop, as a stall does. */
function stall(forMs: number): void {
  const endAtMs = performance.now() + forMs;
  while (performance.now() < endAtMs) {
    // Busy-waits.
  }
}

t.test("timeoutSignal() does not abort a request whose answer has arrived", async (t) => {
  const server = createServer((_request, response) => {
    response.end("answer");
    // The answer has been sent, and this process reads it after the timeout.
    stall(2 * TIMEOUT_MS);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}/`;
  const answer = await request(url, { signal: timeoutSignal(TIMEOUT_MS) });
  t.equal(await answer.body.text(), "answer");
});

t.test("timeoutSignal() aborts after its timeout", async (t) => {
  const signal = timeoutSignal(20);
  t.equal(signal.aborted, false);
  await sleep(100);
  t.equal(signal.aborted, true);
  t.match(signal.reason, { name: "TimeoutError" });
});
