#!/usr/bin/env node
/**
 * Whether box daemons keep their memory over a long run: resident memory of each, sampled while callers
 * ask without a pause, and its growth over the second half, when all code and buffers are warm.
 *
 *     npm run memory -- --seconds 600 --boxes 2
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { BoxFleet, type PlatformBox, toOperatorConfiguration } from "../platform/standin/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import { pause } from "../standins/waiting.js";

const SHARDS = Array.from({ length: 20 }, (_, index) => `shard-${index + 1}`);

const HOST = "h.example";

/** Callers that each ask again as soon as they are answered. */
const CALLERS = 8;

/** Samples of a run. */
const SAMPLES = 20;

/** Resident memory of all boxes at one moment. */
interface Sample {
  readonly atS: number;
  readonly residentMb: ReadonlyArray<number>;
  readonly answers: number;
}

const { settings } = parseSettingsOrExit("Usage: npm run memory -- [--seconds N] [--boxes N]", {
  seconds: { kind: "number", help: "Length of the run", fallback: "600", min: 20 },
  boxes: { kind: "number", help: "Boxes, each a process", fallback: "2", min: 1, max: 20 },
});

/** As Linux tells it of a process. */
function residentMb(pid: number): number {
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
  #asked = 0;

  constructor(fleet: BoxFleet) {
    this.#fleet = fleet;
  }

  get answers(): number {
    return [...this.statuses.values()].reduce((sum, count) => sum + count, 0);
  }

  async run(): Promise<void> {
    const boxes = this.#fleet.boxes;
    await Promise.all(
      Array.from({ length: CALLERS }, (_, caller) => {
        return this.#callAgain(boxes[caller % boxes.length] as PlatformBox);
      }),
    );
  }

  stop(): void {
    this.#stopped = true;
  }

  async #callAgain(box: PlatformBox): Promise<void> {
    while (!this.#stopped) {
      this.#asked += 1;
      const requestId = `m${this.#asked}`;
      const { statusCode } = await this.#fleet.sendRequest(box, { path: "/sweep/x", requestId });
      this.statuses.set(statusCode, (this.statuses.get(statusCode) ?? 0) + 1);
    }
  }
}

const fleet = await startFleet();
const load = new Load(fleet);
const loading = load.run();
const samples: Array<Sample> = [];
for (let index = 1; index <= SAMPLES; index++) {
  await pause((settings.seconds * 1_000) / SAMPLES);
  const sample = {
    atS: Math.round((index * settings.seconds) / SAMPLES),
    residentMb: fleet.boxes.map(({ process }) => residentMb(process.pid)),
    answers: load.answers,
  };
  samples.push(sample);
  process.stdout.write(`${JSON.stringify(sample)}\n`);
}
load.stop();
await loading;
await fleet.stop();
const half = samples[SAMPLES / 2 - 1]?.residentMb ?? [];
const end = samples.at(-1)?.residentMb ?? [];
const grownMb = end.map((mb, index) => Math.round((mb - (half[index] ?? 0)) * 10) / 10);
process.stdout.write(`answers: ${JSON.stringify(Object.fromEntries(load.statuses))}\n`);
process.stdout.write(`grown over the second half, MB: ${grownMb.join(", ")}\n`);
process.exit(0);
