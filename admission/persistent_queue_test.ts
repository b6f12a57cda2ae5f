import t from "tap";
import { addQueueSample, persistentQueueMs, type QueueSamples } from "./persistent_queue.js";

function samplesOf(queuesMs: ReadonlyArray<number>, intervalMs = 100): QueueSamples {
  return queuesMs.reduce<QueueSamples>((samples, queueMs, index) => {
    return addQueueSample(samples, { queueMs, atMs: index * intervalMs });
  }, []);
}

t.test("persistentQueueMs() ignores a transient queue", async (t) => {
  t.equal(persistentQueueMs(samplesOf([0, 40, 0, 40])), 0);
  t.equal(persistentQueueMs(samplesOf([40])), 0, "too few samples");
});

t.test("persistentQueueMs() returns the minimum of the latest samples", async (t) => {
  t.equal(persistentQueueMs(samplesOf([0, 30, 50, 40])), 30);
});

t.test("persistentQueueMs() discards old samples", async (t) => {
  t.equal(persistentQueueMs(samplesOf([40, 40, 40], 2_000)), 0);
});
