import t from "tap";
import { delay } from "../standins/waiting.js";
import { AdaptiveTimer } from "./adaptive_timer.js";

function makeTimer({ isBusy }: { readonly isBusy: () => boolean }) {
  let runs = 0;
  const timer = new AdaptiveTimer({
    busyIntervalMs: 20,
    idleIntervalMs: 5_000,
    isBusy,
    run: () => {
      runs += 1;
    },
  });
  timer.start();
  return { timer, runs: () => runs };
}

t.test("an idle timer runs once and then waits", async (t) => {
  const { timer, runs } = makeTimer({ isBusy: () => false });
  await delay(200);
  t.equal(runs(), 1);
  timer.stop();
});

t.test("wake() ends the idle interval, once", async (t) => {
  const { timer, runs } = makeTimer({ isBusy: () => false });
  await delay(100);
  timer.wake();
  timer.wake();
  await delay(100);
  t.equal(runs(), 2);
  timer.stop();
});

t.test("a busy timer keeps its interval, however often wake() is called", async (t) => {
  const { timer, runs } = makeTimer({ isBusy: () => true });
  for (let round = 0; round < 20; round++) {
    timer.wake();
    await delay(10);
  }
  t.ok(runs() >= 4, `${runs()} runs`);
  timer.stop();
  const ended = runs();
  await delay(60);
  t.equal(runs(), ended);
});
