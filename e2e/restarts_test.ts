import t from "tap";
import type { QueryAnswer } from "../model/mod.js";
import {
  delay,
  Fleet,
  getJson,
  postJson,
  putJson,
  SAMPLE_SHAPES,
  urlOf,
  waitUntil,
} from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

function startFleet(boxes: number): Promise<Fleet> {
  const adviceKeepMs = 500;
  return Fleet.start({ boxes, dataCentres: ["here"], seed: 3, adviceKeepMs, logLevel: "warn" });
}

t.test("a rolling restart of all boxes fails no query", async (t) => {
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  await fleet.addService(SHAPE);
  let urls = fleet.boxes.map((box) => urlOf(box.entry));
  let readAtMs = performance.now();
  let keepForMs = 500;

  /** Returns the entries to call: caches the address list for its lifetime, then requests it again. */
  async function resolveEntries(): Promise<ReadonlyArray<string>> {
    if (performance.now() - readAtMs < keepForMs) {
      return urls;
    }
    for (const url of urls) {
      const list = (await getJson(`${url}/v1/entries`).catch(() => undefined)) as
        | { entries: ReadonlyArray<{ address: string; port: number }>; keepForMs: number }
        | undefined;
      if (list !== undefined) {
        urls = list.entries.map(({ address, port }) => `http://${address}:${port}`);
        ({ keepForMs } = list);
        readAtMs = performance.now();
        return urls;
      }
    }
    throw new Error("Cannot find an entry");
  }

  const failures: Array<string> = [];
  let queryCount = 0;
  let isDone = false;
  async function caller(name: string): Promise<void> {
    while (!isDone) {
      queryCount += 1;
      const entryUrls = await resolveEntries();
      const url = entryUrls[queryCount % entryUrls.length];
      const body = { caller: name, deadlineMs: 5_000, body: { mark: `${name}-${queryCount}` } };
      try {
        const answer = await postJson(`${url}/v1/services/settle-desk/query`, body);
        const { outcome, message } = answer.body as QueryAnswer;
        if (outcome !== "complete") {
          failures.push(`${outcome} ${message} ${JSON.stringify(answer.body).slice(0, 300)}`);
        }
      } catch (error) {
        failures.push(String(error));
      }
      await delay(10);
    }
  }
  const callers = ["a", "b", "c", "d"].map(caller);
  for (const { box, entry, pool } of [...fleet.boxes]) {
    entry.signal("SIGTERM");
    pool.signal("SIGTERM");
    entry.signal("SIGTERM");
    t.same(await Promise.all([entry.exited, pool.exited]), [0, 0], `${box} exits with status 0`);
    await fleet.addBox(box, "here");
    await fleet.waitUntilReady();
  }
  isDone = true;
  await Promise.all(callers);
  t.same(failures, []);
  t.ok(queryCount > 50, `${queryCount} queries`);
});

t.test("a box that starts in an outage gets its configuration from peers", async (t) => {
  const fleet = await startFleet(2);
  t.teardown(() => fleet.stop());
  const { config } = await fleet.addService(SHAPE);
  await fleet.setPlatformFaults({ mode: "silent" });
  const added = await fleet.addBox("box-3", "here");
  await waitUntil(async () => {
    const answer = await postJson(`${urlOf(added.entry)}/v1/services/settle-desk/query`, {
      caller: "a",
      deadlineMs: 1_000,
    });
    return (answer.body as QueryAnswer).outcome === "complete";
  }, "the new box answers");

  await t.test("and keeps it when the platform returns with an older version", async (t) => {
    await fleet.setPlatformFaults({ mode: "up" });
    const url = `${urlOf(fleet.boxes[0]?.entry)}/v1/services/settle-desk`;
    t.equal((await putJson(url, { ...config, policies: { retry: "2" } })).statusCode, 200);
    await fleet.waitUntilActive("service/settle-desk", 2);
    await fleet.setPlatformFaults({ staleVersions: 1 });
    await delay(3_000);
    const status = (await getJson(`${urlOf(added.entry)}/v1/status`)) as {
      daemons: ReadonlyArray<{ report: { revisions: Record<string, number> } }>;
    };
    for (const { report } of status.daemons) {
      t.equal(report.revisions["service/settle-desk"], 2);
    }
  });
});
