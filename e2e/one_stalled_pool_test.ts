// Guards against daemons that treat a stalled pool as gone or wait for it although another could send the
// call, and against a pool that after a stall runs calls that nobody waits for.
import t from "tap";
import type { DaemonStatus } from "../cli/status_command.js";
import { delay, getJson, postJson, urlOf } from "../standins/mod.js";
import { countRuns, STALL_MS, sendQuery, startFleet } from "./_stalled_fleet.js";

/** Time within which queries are answered although a pool is stalled, in milliseconds. */
const ANSWER_MS = 800;

t.test("a shard with a single leaf is answered while its pool is stalled", async (t) => {
  const fleet = await startFleet(t, 1);
  await sendQuery(fleet, 0, { mark: "warm", deadlineMs: 5_000 });
  for (const [stalled, { pool }] of fleet.boxes.entries()) {
    const asked = (stalled + 1) % fleet.boxes.length;
    pool.signal("SIGSTOP");
    const startedAtMs = performance.now();
    const pending = sendQuery(fleet, asked, { mark: `stall-${stalled}`, deadlineMs: 5_000 }).then(
      (answer) => ({ answer, tookMs: performance.now() - startedAtMs }),
    );
    await delay(STALL_MS);
    pool.signal("SIGCONT");
    const { answer, tookMs } = await pending;
    t.equal(answer.outcome, "complete", answer.message);
    t.ok(tookMs < ANSWER_MS, `pool ${stalled} stalled: answered after ${Math.round(tookMs)} ms`);
    await delay(500);
  }
});

t.test("the status holds the reports of daemons that are stalled for a moment", async (t) => {
  const fleet = await startFleet(t, 2);
  const [first, second] = fleet.boxes;
  second?.pool.signal("SIGSTOP");
  const pending = getJson(`${urlOf(first?.entry)}/v1/status`);
  await delay(STALL_MS);
  second?.pool.signal("SIGCONT");
  const { daemons } = (await pending) as { readonly daemons: ReadonlyArray<DaemonStatus> };
  t.same(
    daemons.filter(({ report }) => report === undefined).map(({ memberId }) => memberId),
    [],
  );
});

t.test("a drain names the daemons that have not answered", async (t) => {
  const fleet = await startFleet(t, 2);
  const [first, second] = fleet.boxes;
  second?.pool.signal("SIGSTOP");
  const { statusCode, body } = await postJson(`${urlOf(first?.entry)}/v1/drain/box-2`, {});
  second?.pool.signal("SIGCONT");
  t.equal(statusCode, 202);
  t.same(body, { draining: ["box-2/entry"], unanswered: ["box-2/pool"] });
});

t.test(
  "a pool that was stalled does not run calls that were answered through others",
  async (t) => {
    const fleet = await startFleet(t, 2);
    const boxes = [...fleet.boxes.keys()];
    for (const box of boxes) {
      await sendQuery(fleet, box, { mark: `warm-${box}`, deadlineMs: 5_000 });
    }
    let lateRuns = 0;
    for (const [stalled, { pool }] of [...fleet.boxes, ...fleet.boxes].entries()) {
      pool.signal("SIGSTOP");
      const pending = boxes.map((box) => {
        return sendQuery(fleet, box, { mark: `stall-${stalled}-${box}`, deadlineMs: 5_000 });
      });
      for (const answer of await Promise.all(pending)) {
        t.equal(answer.outcome, "complete", answer.message);
      }
      await delay(STALL_MS);
      const runsBefore = await countRuns(fleet);
      pool.signal("SIGCONT");
      await delay(500);
      lateRuns += (await countRuns(fleet)) - runsBefore;
    }
    t.equal(lateRuns, 0);
  },
);
