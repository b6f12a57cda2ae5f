/**
 * A query over many shards that has a body, while leafs of one zone are emptied and taken away.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, call, configuration, delay, startBoxes } from "../lib/fleet.mjs";
import { startLeaf } from "../lib/leaf.mjs";
import { startStore } from "../lib/platform.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SHARD_COUNT = 20;
/** The sheet's `scale_in` takes away 0.13 to 0.16 of the leafs; here 6 of 40. */
const DRAINED_COUNT = 6;
const ZONES = ["kgn-hall-a", "kgn-hall-a", "mbj-hall-b", "mbj-hall-b"];
const CALLER_ZONE = "kgn-hall-a";
const HOST = "pupu76.example";
const PATH = "/ziti980/search";
const BEFORE_MS = 6_000;
const AFTER_MS = 14_000;
const PAUSE_MS = 60;

const here = dirname(fileURLToPath(import.meta.url));
const lines = [];
const startedAtMs = performance.now();

function note(text) {
  lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`);
}

function digest(bytes) {
  return `${bytes.length} bytes ${createHash("sha256").update(bytes).digest("hex").slice(0, 12)}`;
}

async function main() {
  const store = await startStore();
  const sent = new Map();
  const changed = [];
  let runCount = 0;
  const onRun = ({ leaf, service, zone, requestId, method, path, body }) => {
    runCount += 1;
    const query = sent.get(requestId);
    const isSame =
      query !== undefined && method === "POST" && path === PATH && body.equals(query.body);
    const verdict = isSame ? "as sent" : "CHANGED";
    note(
      `run ${requestId} ${service} ${leaf} ${zone} ${method} ${path} ${digest(body)} ${verdict}`,
    );
    if (!isSame) {
      changed.push({ requestId, service });
    }
  };
  const shards = Array.from({ length: SHARD_COUNT }, (_, index) => `bidscope-${index + 1}`);
  const leafs = [];
  for (const service of shards) {
    for (const zone of ["kgn-hall-a", "mbj-hall-b"]) {
      leafs.push(await startLeaf(store, { service, zone, slots: 2, workMs: 5, onRun }));
    }
  }
  const route = {
    ...{ name: "bid-book-sweep", host: HOST, pathPrefix: "/ziti980/", type: "safe" },
    ...{ timeoutMs: 2_000, targetLatencyMs: 610, gather: shards, topK: 50, minShardShare: 0.89 },
  };
  const services = shards.map((name) => ({ name }));
  store.put("config", "main", configuration(1, [route], services));
  const fleet = await startBoxes(store, ZONES);
  let status = 2;
  try {
    await fleet.waitUntilReady();
    await delay(3_000);
    const callers = fleet.boxes.filter(({ zone }) => zone === CALLER_ZONE);
    const beginMs = performance.now();
    let isDrained = false;
    let answered = 0;
    for (let number = 1; performance.now() - beginMs < BEFORE_MS + AFTER_MS; number += 1) {
      if (HAS_TROUBLE && !isDrained && performance.now() - beginMs > BEFORE_MS) {
        isDrained = true;
        const drained = leafs.filter(({ zone }) => zone === CALLER_ZONE).slice(0, DRAINED_COUNT);
        for (const leaf of drained) {
          leaf.drain(BOUNDS.drainMs);
          note(`leaf ${leaf.id} of ${leaf.service} in ${leaf.zone} says draining`);
        }
      }
      const box = callers[number % callers.length];
      const requestId = `q${String(number).padStart(6, "0")}`;
      const body = Buffer.from(
        JSON.stringify({ product: `hour-${number}`, side: "up", mw: number }),
      );
      sent.set(requestId, { body });
      note(`sent ${requestId} to ${box.name} POST ${PATH} ${digest(body)}`);
      const answer = await call(box, {
        ...{ method: "POST", path: PATH, body },
        headers: {
          ...{ Host: HOST, "X-Request-Id": requestId, "X-Deadline-Ms": "2000" },
          "Content-Type": "application/json",
        },
      });
      const parts = String(answer.headers?.["x-part-stamps"] ?? "").split(",").length;
      const missing = answer.headers?.["x-missing-parts"];
      note(`answered ${requestId} ${answer.status} parts ${parts} missing ${missing}`);
      answered += answer.status === 200 ? 1 : 0;
      await delay(PAUSE_MS);
    }
    const wrong = new Set(changed.map(({ requestId }) => requestId));
    note(`${sent.size} sent, ${answered} answered with 200, ${runCount} runs at leafs`);
    note(`${changed.length} runs of ${wrong.size} requests with a changed method, path or body`);
    status = answered === 0 ? 2 : changed.length > 0 ? 1 : 0;
  } catch (error) {
    note(`cannot run: ${error.message}`);
  } finally {
    await fleet.stop();
    for (const leaf of leafs) {
      leaf.stop();
    }
    store.close();
  }
  const verdict = ["held: no run was changed", "BROKEN: UNASKED", "the case could not run"][status];
  note(`${HAS_TROUBLE ? "with" : "without"} the disruption: ${verdict}`);
  writeFileSync(join(here, "record.txt"), `${lines.join("\n")}\n`);
  console.log(lines.slice(-3).join("\n"));
  process.exit(status);
}

main().catch((error) => {
  console.error(error);
  process.exit(2);
});
