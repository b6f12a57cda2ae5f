// Guards against entries that treat a stalled daemon as gone, and against entries that, after a stall of
// their own, act before they have read the results that have arrived.
import t, { type Test } from "tap";
import type { DaemonStatus } from "../cli/status_command.js";
import type { QueryAnswer } from "../model/mod.js";
import { delay, Fleet, getJson, postJson, SAMPLE_SHAPES, urlOf } from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

/** Time for which a daemon is stalled, in milliseconds: shorter than until it is considered dead. */
const STALL_MS = 1_200;

/** Time within which queries are answered although a pool is stalled, in milliseconds. */
const ANSWER_MS = 800;

/** Service time of leafs that run calls while an entry is stalled, in milliseconds. */
const SERVICE_TIME_MS = 100;

interface SentQuery {
  readonly mark: string;
  readonly deadlineMs: number;
}

async function startFleet(t: Test, replicas: number): Promise<Fleet> {
  const adviceKeepMs = 500;
  const fleet = await Fleet.start({
    boxes: 3,
    dataCentres: ["here"],
    seed: 4,
    adviceKeepMs,
    logLevel: "warn",
  });
  t.teardown(() => fleet.stop());
  await fleet.addService({ ...SHAPE, replicas });
  return fleet;
}

async function sendQuery(
  fleet: Fleet,
  box: number,
  { mark, deadlineMs }: SentQuery,
): Promise<QueryAnswer> {
  const url = `${urlOf(fleet.boxes[box]?.entry)}/v1/services/settle-desk/query`;
  const { body } = await postJson(url, { caller: "a", deadlineMs, body: { mark } });
  return body as QueryAnswer;
}

async function countRuns(fleet: Fleet): Promise<number> {
  const runs = await fleet.queryBackends("/admin/runs");
  return (runs as ReadonlyArray<ReadonlyArray<unknown>>).flat().length;
}

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

t.test(
  "an entry that was stalled sends no second calls for results that have arrived",
  async (t) => {
    const fleet = await startFleet(t, 2);
    await sendQuery(fleet, 0, { mark: "warm", deadlineMs: 5_000 });
    await fleet.changeLeafs("settle-desk", { serviceTimeMs: SERVICE_TIME_MS });
    let secondCalls = 0;
    for (let index = 0; index < 6; index++) {
      await fleet.queryBackends("/admin/forget");
      const pending = sendQuery(fleet, 0, { mark: `stall-${index}`, deadlineMs: 5_000 });
      while ((await countRuns(fleet)) < SHAPE.instances) {
        await delay(1);
      }
      // The leafs run the calls, so that their results arrive during the stall.
      fleet.boxes[0]?.entry.signal("SIGSTOP");
      await delay(STALL_MS);
      fleet.boxes[0]?.entry.signal("SIGCONT");
      t.equal((await pending).outcome, "complete");
      await delay(200);
      secondCalls += (await countRuns(fleet)) - SHAPE.instances;
    }
    t.equal(secondCalls, 0);
  },
);

t.test(
  "an entry stalled beyond a deadline answers with the results that have arrived",
  async (t) => {
    const fleet = await startFleet(t, 2);
    await sendQuery(fleet, 0, { mark: "warm", deadlineMs: 5_000 });
    await fleet.changeLeafs("settle-desk", { serviceTimeMs: SERVICE_TIME_MS });
    for (let index = 0; index < 6; index++) {
      await fleet.queryBackends("/admin/forget");
      const pending = sendQuery(fleet, 0, { mark: `late-${index}`, deadlineMs: STALL_MS / 2 });
      while ((await countRuns(fleet)) < SHAPE.instances) {
        await delay(1);
      }
      fleet.boxes[0]?.entry.signal("SIGSTOP");
      await delay(STALL_MS);
      fleet.boxes[0]?.entry.signal("SIGCONT");
      const answer = await pending;
      t.equal(answer.outcome, "complete", answer.message);
      await delay(200);
    }
  },
);

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
  "an entry stalled beyond a deadline hands on the answer of the entry that issued the ticket",
  async (t) => {
    const fleet = await startFleet(t, 2);
    await sendQuery(fleet, 0, { mark: "warm", deadlineMs: 5_000 });
    await fleet.changeLeafs("settle-desk", { serviceTimeMs: SERVICE_TIME_MS });
    const [issuer, other] = fleet.boxes;
    for (let sequence = 1; sequence <= 4; sequence++) {
      await fleet.queryBackends("/admin/forget");
      const { ticket } = (await getJson(`${urlOf(issuer?.entry)}/v1/entries?ticket=true`)) as {
        readonly ticket: string;
      };
      const pending = postJson(`${urlOf(other?.entry)}/v1/services/settle-desk/query`, {
        caller: "a",
        deadlineMs: STALL_MS / 2,
        repeatable: false,
        ticket,
        sequence,
        body: { mark: `ticket-${sequence}` },
      });
      while ((await countRuns(fleet)) < SHAPE.instances) {
        await delay(1);
      }
      other?.entry.signal("SIGSTOP");
      await delay(STALL_MS);
      other?.entry.signal("SIGCONT");
      const { outcome, message } = (await pending).body as QueryAnswer;
      t.equal(outcome, "complete", message);
    }
  },
);
