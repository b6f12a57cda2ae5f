// Guards against entries that, after a stall, act before they have read the results that have arrived.
import t from "tap";
import type { QueryAnswer } from "../model/mod.js";
import { delay, getJson, postJson, urlOf } from "../standins/mod.js";
import { countRuns, SHAPE, STALL_MS, sendQuery, startFleet } from "./_stalled_fleet.js";

/** Service time of leafs that run calls while an entry is stalled, in milliseconds. */
const SERVICE_TIME_MS = 100;

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
