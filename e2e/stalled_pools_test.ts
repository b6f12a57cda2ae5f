// Guards against queries that an entry refuses although they have time left, because its pools have
// stalled and it has not connected to any yet.
import t from "tap";
import type { QueryAnswer } from "../model/mod.js";
import { delay, Fleet, postJson, SAMPLE_SHAPES, urlOf, waitUntil } from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

/** Time for which the pools stay stalled once the new entry accepts queries, in milliseconds. */
const STALL_MS = 600;

t.test("a new entry answers queries although all pools are stalled", async (t) => {
  const fleet = await Fleet.start({
    boxes: 2,
    dataCentres: ["here"],
    seed: 3,
    adviceKeepMs: 500,
    logLevel: "warn",
  });
  t.teardown(() => fleet.stop());
  await fleet.addService(SHAPE);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGSTOP");
  }
  const added = await fleet.addBox("box-3", "here");
  added.pool.signal("SIGSTOP");
  let accepted: Promise<QueryAnswer> | undefined;
  await waitUntil(async () => {
    accepted = postJson(`${urlOf(added.entry)}/v1/services/settle-desk/query`, {
      caller: "a",
      deadlineMs: 5_000,
      body: { mark: "first" },
    }).then(({ body }) => body as QueryAnswer);
    const first = await Promise.race([accepted, delay(100)]);
    return first === undefined || !first.message.includes("starting");
  }, "the new entry accepts queries");
  await delay(STALL_MS);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGCONT");
  }
  const answer = await accepted;
  t.equal(answer?.outcome, "complete", answer?.message ?? "");
});
