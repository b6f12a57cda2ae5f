#!/usr/bin/env node
/**
 * Measures the cost of an idle box in a large fleet: processor time and wake-ups of one box process. This
 * program simulates the other boxes: they answer its datagrams, and each second one of them sends a
 * request. The readiness endpoint is polled each second as well.
 *
 *     npm run standby-cost -- --boxes 195 --seconds 20
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { decodeFleetMessage, encodeFleetMessage } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import { startPlatformStandin, toOperatorConfiguration } from "../platform/standin/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import { type FleetProcess, startProcess } from "../standins/processes.js";
import { delay } from "../standins/waiting.js";

const { settings } = parseSettingsOrExit(
  "Usage: npm run standby-cost -- [--boxes N] [--seconds N]",
  {
    boxes: {
      kind: "number",
      help: "Number of boxes of the fleet",
      fallback: "195",
      min: 5,
      max: 250,
    },
    seconds: {
      kind: "number",
      help: "Duration of the measurement, in seconds",
      fallback: "20",
      min: 1,
      max: 600,
    },
  },
);

const LOOPBACK = "127.0.0.1";

/** Address of the measured box. */
const MEASURED_ADDRESS = "127.44.9.9";

const DATAGRAM_PORT = 7380;
const READINESS_PORT = 8108;

/** Region of each data centre. */
const REGIONS: Readonly<Record<string, string>> = { a: "north", b: "south", c: "east" };

/** Time before the measurement in which the box discovers the others, in milliseconds. */
const SETTLE_MS = 5_000;

/** Number of other members that a datagram of a simulated box describes. */
const GOSSIPED_MEMBER_COUNT = 3;

/** Shards, each with two leafs. */
const SHARDS = Array.from({ length: 87 }, (_, index) => `shard-${index}`);

function memberAt(index: number): Member {
  const memberId = `box-${index}`;
  const dataCentre = Object.keys(REGIONS)[index % 3] ?? "a";
  return {
    ...{ memberId, box: memberId, dataCentre, role: "entry", state: "alive", version: 2 },
    ...{ incarnation: (1e11 + index * 7_919).toString(16), startedAtEpochMs: Date.now() },
    address: `127.44.${1 + Math.floor(index / 100)}.${1 + (index % 100)}`,
    ...{ peerPort: 7_381, callerPort: 8_104, processorCores: index < 18 ? 1.35 : 0.324 },
  };
}

function pickRandom<T>(items: ReadonlyArray<T>): T {
  return items[Math.floor(Math.random() * items.length)] as T;
}

/** Simulates the other boxes of the fleet. */
class SimulatedBoxes {
  readonly #members = Array.from({ length: settings.boxes - 1 }, (_, index) => memberAt(index));
  readonly #sockets: ReadonlyArray<Socket>;

  constructor() {
    this.#sockets = this.#members.map((member) => this.#open(member));
  }

  /** Addresses of the first three boxes. */
  get seeds(): ReadonlyArray<string> {
    return this.#members.slice(0, 3).map(({ address }) => address);
  }

  /** Sends a request from a random simulated box to the measured one. */
  sendRequest(): void {
    const index = Math.floor(Math.random() * this.#members.length);
    this.#send(index, "ask", 1);
  }

  close(): void {
    for (const socket of this.#sockets) {
      socket.close();
    }
  }

  #open(member: Member): Socket {
    const socket = createSocket("udp4");
    socket.on("message", (data) => {
      const message = decodeFleetMessage(data);
      if (message?.kind === "ask") {
        this.#send(this.#members.indexOf(member), "answer", message.number);
      }
    });
    socket.bind(DATAGRAM_PORT, member.address);
    return socket;
  }

  #send(index: number, kind: "ask" | "answer", number: number): void {
    const self = this.#members[index];
    if (self !== undefined) {
      const gossiped = Array.from({ length: GOSSIPED_MEMBER_COUNT }, () =>
        pickRandom(this.#members),
      );
      const progress = { configurationVersion: 1, leafsRevision: 1 };
      const data = encodeFleetMessage({
        ...{ kind, number, progress, crashes: [] },
        members: [self, ...gossiped],
      });
      this.#sockets[index]?.send(data, DATAGRAM_PORT, MEASURED_ADDRESS);
    }
  }
}

/** Resources that a process has used since its start. */
interface ProcessUsage {
  readonly processorMs: number;
  readonly mainThreadMs: number;
  readonly wakeUps: number;
}

function readUsage(pid: number): ProcessUsage {
  const threads = readdirSync(`/proc/${pid}/task`).map((thread) => {
    const runtimeNs = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0];
    return Number(runtimeNs) / 1e6;
  });
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const wakeUps = Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)?.[1]);
  const processorMs = threads.reduce((sum, runtimeMs) => sum + runtimeMs, 0);
  return { processorMs, mainThreadMs: threads[0] ?? 0, wakeUps };
}

function settingsText(seeds: ReadonlyArray<string>, storePort: number): string {
  const address = MEASURED_ADDRESS;
  return [
    `nodeName = "measured"`,
    `ip = "${address}"`,
    `zone = "a"`,
    `internalPorts = [${DATAGRAM_PORT}, ${DATAGRAM_PORT + 15}]`,
    `seeds = [${seeds.map((seed) => `"${seed}:8106"`).join(", ")}]`,
    "[zones]",
    ...Object.entries(REGIONS).map(([zone, region]) => `${zone} = "${region}"`),
    "[bindAddresses]",
    `frontend = "${address}:8104"`,
    `readiness = "${address}:${READINESS_PORT}"`,
    `control = "${address}:8106"`,
    `directory = "${address}:8100"`,
    "[limits]",
    "cpuShare = 0.324",
    "cores = 1",
    "[bounds]",
    "drainMs = 6000",
    "configApplyMs = 6000",
    "graceS = 6",
    "retryBudgetRatio = 0.2",
    "budgetSlack = 430",
    "ttl_max_s = 5",
    "[platform]",
    `address = "${LOOPBACK}:${storePort}"`,
    "",
  ].join("\n");
}

async function measure({ pid }: FleetProcess): Promise<void> {
  await delay(SETTLE_MS);
  const before = readUsage(pid);
  await delay(settings.seconds * 1_000);
  const after = readUsage(pid);
  const perSecond = (from: number, to: number): number => (to - from) / settings.seconds;
  const percent = (from: number, to: number): string => (perSecond(from, to) / 10).toFixed(2);
  const share = percent(before.processorMs, after.processorMs);
  const main = percent(before.mainThreadMs, after.mainThreadMs);
  const wakeUps = perSecond(before.wakeUps, after.wakeUps).toFixed(1);
  process.stdout.write(
    `One box of ${settings.boxes}, ${settings.seconds} s: ${share}% of a core, ${main}% in its main thread, ${wakeUps} wake-ups a second\n`,
  );
}

const platform = await startPlatformStandin({ address: LOOPBACK, port: 0 });
const gather = { shards: SHARDS, topRecords: 5, leastShare: 0.9 };
const route = { host: "h", name: "sweep", prefix: "/sweep/", repeatable: true, gather };
platform.put(
  "config",
  "main",
  toOperatorConfiguration({ version: 1, routes: [route], services: SHARDS }),
);
const simulatedBoxes = new SimulatedBoxes();
const folder = mkdtempSync(join(tmpdir(), "rackvale-standby-"));
const settingsPath = join(folder, "boot.toml");
writeFileSync(settingsPath, settingsText(simulatedBoxes.seeds, platform.port));
const box = await startProcess("bin/rackvale_box.js", [], {
  env: { RACKVALE_SETTINGS: settingsPath },
  startedText: "box: started",
});
const requestTimer = setInterval(() => {
  simulatedBoxes.sendRequest();
  request(`http://${MEASURED_ADDRESS}:${READINESS_PORT}/api/readyz`, { reset: true })
    .then(({ body }) => body.dump())
    .catch(() => undefined);
}, 1_000);
await measure(box);
clearInterval(requestTimer);
box.signal("SIGKILL");
await box.exited;
simulatedBoxes.close();
platform.close();
rmSync(folder, { recursive: true, force: true });
