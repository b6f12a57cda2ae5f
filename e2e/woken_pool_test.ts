// Guards against a pool that, after a stall, runs calls that nobody waits for any more.
import t from "tap";
import { delay } from "../standins/mod.js";
import { countRuns, STALL_MS, sendQuery, startFleet } from "./_stalled_fleet.js";

/** Time within which a pool that wakes has handled what has arrived, in milliseconds. */
const WAKE_MS = 500;

t.test("a pool that wakes runs no calls of an entry that has ended", async (t) => {
  const fleet = await startFleet(t, 2);
  const [box] = fleet.boxes;
  await sendQuery(fleet, 0, { mark: "warm", deadlineMs: 5_000 });
  const runsBefore = await countRuns(fleet);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGSTOP");
  }
  const lost = sendQuery(fleet, 0, { mark: "lost", deadlineMs: 5_000 }).catch(() => undefined);
  await delay(STALL_MS / 2);
  // Its sockets close without any message on them.
  box?.entry.signal("SIGKILL");
  await lost;
  await delay(STALL_MS / 2);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGCONT");
  }
  await delay(WAKE_MS);
  t.equal(await countRuns(fleet), runsBefore);
});
