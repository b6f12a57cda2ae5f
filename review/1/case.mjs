/**
 * An entry of another writer among those of the leafs, whose address is not one.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, configuration, delay, startBoxes } from "../lib/fleet.mjs";
import { startLeaf } from "../lib/leaf.mjs";
import { startStore } from "../lib/platform.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const BOX_ZONES = ["kgn-hall-a", "mbj-hall-b", "mdv-hall-c"];
/** Zones of the seven leafs of `settle-desk` in the small deployment. */
const LEAF_ZONES = [
  ...["kgn-hall-a", "kgn-hall-a", "kgn-hall-a"],
  ...["mbj-hall-b", "mbj-hall-b", "mdv-hall-c", "mdv-hall-c"],
];
const HOST = "pupu76.example";
const PREFIX = "/timi402/";
/** The sheet's work of a settlement lookup is 163 ms in the mean. */
const WORK_MS = { min: 80, max: 240 };
/** Clients of each box; each keeps one connection and sends one request after the other. */
const CLIENTS_PER_BOX = 6;
const DEADLINE_MS = 6_000;
const BEFORE_MS = 5_000;
const AFTER_MS = 20_000;
/** Time after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500;
/** The rule LOST allows this number. */
const ALLOWED_LOST = 3;

/**
 * An entry of another writer. All its fields are there, but its address is none: no TCP port is
 * above 65,535.
 */
const FOREIGN_ENTRY = {
  ...{ service: "settle-desk", address: "127.0.0.1:70000", zone: "kgn-hall-a", version: "v1" },
  ...{ slots: 4, state: "ready", warmupLeftMs: 0, sequence: 1, born: 1_790_000_000_000 },
};

const here = dirname(fileURLToPath(import.meta.url));
const lines = [];
const startedAtMs = performance.now();

function note(text) {
  lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`);
}

async function main() {
  const store = await startStore();
  const ran = new Map();
  const onRun = ({ leaf, requestId }) => {
    ran.set(requestId, leaf);
    note(`run ${requestId} at ${leaf}`);
  };
  const leafs = [];
  for (const zone of LEAF_ZONES) {
    const options = { service: "settle-desk", zone, slots: 4, queue: 16, workMs: WORK_MS };
    leafs.push(await startLeaf(store, { ...options, onRun }));
  }
  const route = {
    ...{ name: "settlement", host: HOST, pathPrefix: PREFIX, type: "safe" },
    ...{ timeoutMs: DEADLINE_MS, targetLatencyMs: 610, service: "settle-desk" },
  };
  const services = [{ name: "settle-desk", maxConnections: 100 }];
  store.put("config", "main", configuration(1, [route], services));
  const fleet = await startBoxes(store, BOX_ZONES);
  const ends = new Map(fleet.boxes.map(({ name }) => [name, 0]));
  const lost = [];
  let isRunning = true;
  let served = 0;
  let status = 2;

  /** Starts a box again whenever it ends by itself, as the platform does. */
  async function keepRunning(box) {
    while (isRunning) {
      await box.exited;
      if (isRunning) {
        ends.set(box.name, ends.get(box.name) + 1);
        note(`${box.name} has ended by itself: code ${box.end.code} signal ${box.end.signal}`);
        await delay(RESTART_DELAY_MS);
        if (isRunning) {
          fleet.start(box);
        }
      }
    }
  }

  /** One client: keeps its connection, and opens another one when that is closed. */
  async function runClient(box, number) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let onConnection = 0;
    for (let index = 0; isRunning; index += 1) {
      const requestId = `${randomBytes(4).toString("hex")}-${number}-${index}`;
      note(`sent ${requestId} to ${box.name}`);
      const answer = await call(box, {
        ...{ path: `${PREFIX}${number}/${index}`, agent },
        headers: { Host: HOST, "X-Request-Id": requestId, "X-Deadline-Ms": String(DEADLINE_MS) },
      });
      const isKept = onConnection > 0;
      const leaf = ran.get(requestId);
      note(`answered ${requestId} ${answer.status} ${answer.error ?? ""}`.trimEnd());
      served += answer.status === 200 ? 1 : 0;
      if (answer.status === 0 && isKept && leaf !== undefined && isRunning) {
        lost.push(requestId);
        note(`LOST ${requestId}: run at ${leaf}, connection of ${box.name} closed with no answer`);
      }
      onConnection = answer.status === 0 ? 0 : onConnection + 1;
      await delay(answer.status === 200 ? 20 : 100);
    }
    agent.destroy();
  }

  try {
    await fleet.waitUntilReady();
    await delay(2_000);
    for (const box of fleet.boxes) {
      void keepRunning(box);
    }
    const clients = fleet.boxes.flatMap((box, position) => {
      return Array.from({ length: CLIENTS_PER_BOX }, (_, index) => {
        return runClient(box, position * CLIENTS_PER_BOX + index);
      });
    });
    await delay(BEFORE_MS);
    note(`${served} answered with 200 before the disruption`);
    if (HAS_TROUBLE) {
      store.put("servers", "i-0f0e0d0c", FOREIGN_ENTRY);
      note(`another writer has written servers/i-0f0e0d0c: ${JSON.stringify(FOREIGN_ENTRY)}`);
    }
    await delay(AFTER_MS);
    isRunning = false;
    await Promise.all(clients);
    const isFault = [...ends.values()].filter((count) => count >= 3).length >= 2;
    note(`${served} answered with 200; ends by themselves: ${JSON.stringify([...ends])}`);
    note(`${lost.length} requests lost; rule Fault ${isFault ? "broken as well" : "held"}`);
    status = served === 0 ? 2 : lost.length > ALLOWED_LOST ? 1 : 0;
  } catch (error) {
    note(`cannot run: ${error.message}`);
  } finally {
    isRunning = false;
    await fleet.stop();
    for (const leaf of leafs) {
      leaf.stop();
    }
    store.close();
  }
  const verdict = ["held", "BROKEN: LOST", "the case could not run"][status];
  note(`${HAS_TROUBLE ? "with" : "without"} the disruption: ${verdict}`);
  writeFileSync(join(here, "record.txt"), `${lines.join("\n")}\n`);
  console.log(lines.slice(-3).join("\n"));
  process.exit(status);
}

main().catch((error) => {
  console.error(error);
  process.exit(2);
});
