// Guards against queries that an entry refuses although their leafs respond, because its pools have
// stalled: while it has not connected to any yet, and after the pools have resumed.
import t from "tap";
import type { QueryAnswer } from "../model/mod.js";
import {
  delay,
  Fleet,
  getJson,
  postJson,
  SAMPLE_SHAPES,
  urlOf,
  waitUntil,
} from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

/** Deadline of queries after a stall, in milliseconds. */
const DEADLINE_MS = 2_000;

/** Time for which the pools are stalled while calls are open: longer than the deadline. */
const LONG_STALL_MS = 3_000;

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
  const url = urlOf(added.entry);
  await waitUntil(async () => {
    const { phase } = (await getJson(`${url}/ready`)) as { readonly phase: string };
    return phase === "ready";
  }, "the new entry accepts queries");
  const accepted = postJson(`${url}/v1/services/settle-desk/query`, {
    caller: "a",
    deadlineMs: 5_000,
    body: { mark: "first" },
  });
  await delay(STALL_MS);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGCONT");
  }
  const { outcome, message } = (await accepted).body as QueryAnswer;
  t.equal(outcome, "complete", message);
});

t.test("queries are answered after all pools were stalled", async (t) => {
  const fleet = await Fleet.start({
    boxes: 3,
    dataCentres: ["here"],
    seed: 2,
    adviceKeepMs: 500,
    logLevel: "warn",
  });
  t.teardown(() => fleet.stop());
  await fleet.addService(SHAPE);
  async function sendQuery(box: number, mark: string, deadlineMs: number): Promise<QueryAnswer> {
    const url = `${urlOf(fleet.boxes[box]?.entry)}/v1/services/settle-desk/query`;
    const { body } = await postJson(url, { caller: "a", deadlineMs, body: { mark } });
    return body as QueryAnswer;
  }
  await fleet.changeLeafs("settle-desk", { serviceTimeMs: 200 });
  const pending = [0, 1, 2].map((box) => sendQuery(box, `during-${box}`, 20_000));
  await delay(80);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGSTOP");
  }
  await delay(LONG_STALL_MS);
  for (const { pool } of fleet.boxes) {
    pool.signal("SIGCONT");
  }
  for (const answer of await Promise.all(pending)) {
    t.equal(answer.outcome, "complete", "a query during the stall");
  }
  await fleet.changeLeafs("settle-desk", { serviceTimeMs: 3 });
  await delay(500);
  for (const box of [0, 1, 2]) {
    const answer = await sendQuery(box, `after-${box}`, DEADLINE_MS);
    t.equal(answer.outcome, "complete", answer.message);
  }
});
