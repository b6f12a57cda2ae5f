import t from "tap";
import { decodeSentTime, encodeSentTime, TransitDelays } from "./transit_delays.js";

/** Difference between the clocks of the two boxes, in milliseconds. */
const CLOCK_OFFSET_MS = 5_000_000;

function send(delays: TransitDelays, sentAtMs: number, underWayMs: number): number {
  const receivedAtMs = sentAtMs + CLOCK_OFFSET_MS + underWayMs;
  return delays.record({ clockId: "a", sentAtMs }, receivedAtMs);
}

t.test("a delay is measured against the fastest recent request of the sender", async (t) => {
  const delays = new TransitDelays();
  t.equal(send(delays, 0, 20), 0, "the first one is the reference");
  t.equal(send(delays, 1_000, 8), 0, "a faster one replaces it");
  t.equal(send(delays, 2_000, 708), 700);
  t.equal(send(delays, 3_000, 9), 1);
});

t.test("a reference is replaced after a jump of the sender's clock", async (t) => {
  const delays = new TransitDelays();
  send(delays, 0, 8);
  const jumpedMs = 2_000;
  t.equal(send(delays, 10_000, 8 + jumpedMs), jumpedMs);
  for (let sentAtMs = 20_000; sentAtMs <= 70_000; sentAtMs += 10_000) {
    send(delays, sentAtMs, 8 + jumpedMs);
  }
  t.equal(send(delays, 80_000, 8 + jumpedMs), 0);
});

t.test("a request without a valid time has no known delay", async (t) => {
  const delays = new TransitDelays();
  t.same(decodeSentTime(encodeSentTime({ clockId: "a", sentAtMs: 1.4 })), {
    clockId: "a",
    sentAtMs: 1,
  });
  for (const value of [undefined, "", "a", "a x", " 5", "a "]) {
    t.equal(decodeSentTime(value), undefined, `"${value}"`);
    t.equal(delays.record(decodeSentTime(value), 1_000), 0);
  }
});
