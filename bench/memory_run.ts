#!/usr/bin/env node
/**
 * Detects memory leaks of box daemons: samples the resident memory of each while callers send queries
 * continuously, and prints its growth over the second half of the run, after the warm-up.
 *
 *     npm run memory -- --seconds 600 --boxes 2
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { BoxFleet, type PlatformBox, toOperatorConfiguration } from "../platform/standin/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import { delay } from "../standins/waiting.js";

const SHARDS = Array.from({ length: 20 }, (_, index) => `shard-${index + 1}`);

const HOST = "h.example";

/** Number of callers; each sends its next query as soon as the previous one is answered. */
const CALLER_COUNT = 8;

/** Number of samples of a run. */
const SAMPLE_COUNT = 20;

/** Resident memory of all boxes at a point in time. */
interface Sample {
  readonly atS: number;
  readonly residentMb: ReadonlyArray<number>;
  readonly answers: number;
}

const { settings } = parseSettingsOrExit("Usage: npm run memory -- [--seconds N] [--boxes N]", {
  seconds: { kind: "number", help: "Duration of the run, in seconds", fallback: "600", min: 20 },
  boxes: {
    kind: "number",
    help: "Number of boxes, each a process",
    fallback: "2",
    min: 1,
    max: 20,
  },
});

/** Reads the resident memory of a process, in megabytes. */
function readResidentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, kilobytes = "0"] = /VmRSS:\s+(\d+) kB/.exec(status) ?? [];
  return Math.round(Number(kilobytes) / 102.4) / 10;
}

async function startFleet(): Promise<BoxFleet> {
  const fleet = await BoxFleet.start();
  const gather = { shards: SHARDS, topRecords: 5, leastShare: 0.9 };
  const route = { host: HOST, name: "sweep", prefix: "/sweep/", repeatable: true, gather };
  fleet.configure(toOperatorConfiguration({ version: 1, routes: [route], services: SHARDS }));
  for (const service of SHARDS) {
    await fleet.addLeaf({ leafId: `${service}-a`, service });
    await fleet.addLeaf({ leafId: `${service}-b`, service, dataCentre: "hall-b" });
  }
  for (let number = 0; number < settings.boxes; number++) {
    await fleet.addBox(number % 2 === 0 ? "hall-a" : "hall-b");
  }
  await fleet.waitUntilReady();
  return fleet;
}

class Load {
  readonly #fleet: BoxFleet;
  readonly statuses = new Map<number, number>();
  #stopped = false;
  #requestCount = 0;

  constructor(fleet: BoxFleet) {
    this.#fleet = fleet;
  }

  get answerCount(): number {
    return [...this.statuses.values()].reduce((sum, count) => sum + count, 0);
  }

  async run(): Promise<void> {
    const boxes = this.#fleet.boxes;
    await Promise.all(
      Array.from({ length: CALLER_COUNT }, (_, caller) => {
        return this.#sendRepeatedly(boxes[caller % boxes.length] as PlatformBox);
      }),
    );
  }

  stop(): void {
    this.#stopped = true;
  }

  async #sendRepeatedly(box: PlatformBox): Promise<void> {
    while (!this.#stopped) {
      this.#requestCount += 1;
      const requestId = `m${this.#requestCount}`;
      const { statusCode } = await this.#fleet.sendRequest(box, { path: "/sweep/x", requestId });
      this.statuses.set(statusCode, (this.statuses.get(statusCode) ?? 0) + 1);
    }
  }
}

const fleet = await startFleet();
const load = new Load(fleet);
const loading = load.run();
const samples: Array<Sample> = [];
for (let index = 1; index <= SAMPLE_COUNT; index++) {
  await delay((settings.seconds * 1_000) / SAMPLE_COUNT);
  const sample = {
    atS: Math.round((index * settings.seconds) / SAMPLE_COUNT),
    residentMb: fleet.boxes.map(({ process }) => readResidentMb(process.pid)),
    answers: load.answerCount,
  };
  samples.push(sample);
  process.stdout.write(`${JSON.stringify(sample)}\n`);
}
load.stop();
await loading;
await fleet.stop();
const atHalf = samples[SAMPLE_COUNT / 2 - 1]?.residentMb ?? [];
const atEnd = samples.at(-1)?.residentMb ?? [];
const growthMb = atEnd.map((mb, index) => Math.round((mb - (atHalf[index] ?? 0)) * 10) / 10);
process.stdout.write(`answers: ${JSON.stringify(Object.fromEntries(load.statuses))}\n`);
process.stdout.write(`growth over the second half, MB: ${growthMb.join(", ")}\n`);
process.exit(0);
