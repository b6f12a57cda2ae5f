import t from "tap";
import { addQueueSample, persistentQueueMs, type QueueSamples } from "./persistent_queue.js";

function looksOf(queuesMs: ReadonlyArray<number>, everyMs = 100): QueueSamples {
  return queuesMs.reduce<QueueSamples>((looks, queueMs, index) => {
    return addQueueSample(looks, { queueMs, atMs: index * everyMs });
  }, []);
}

t.test("standingQueueMs() passes over a wait that comes and goes", async (t) => {
  t.equal(persistentQueueMs(looksOf([0, 40, 0, 40])), 0);
  t.equal(persistentQueueMs(looksOf([40])), 0, "one look tells nothing");
});

t.test("standingQueueMs() tells the wait that is there at each look", async (t) => {
  t.equal(persistentQueueMs(looksOf([0, 30, 50, 40])), 30);
});

t.test("standingQueueMs() forgets looks of long ago", async (t) => {
  t.equal(persistentQueueMs(looksOf([40, 40, 40], 2_000)), 0);
});
