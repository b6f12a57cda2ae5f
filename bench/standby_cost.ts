#!/usr/bin/env node
/**
 * What a box costs that stands by in a large fleet: processor time and wake-ups of one box process whose
 * other boxes are played by this program. They answer its datagrams and ask it once a second, and its
 * readiness is looked at each second.
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
import { pause } from "../standins/waiting.js";

const { settings } = parseSettingsOrExit(
  "Usage: npm run standby-cost -- [--boxes N] [--seconds N]",
  {
    boxes: { kind: "number", help: "Boxes of the fleet", fallback: "195", min: 5, max: 250 },
    seconds: { kind: "number", help: "Time that is measured", fallback: "20", min: 1, max: 600 },
  },
);

const LOOPBACK = "127.0.0.1";

/** Address of the box that is measured; the others' lie beside it. */
const MEASURED_ADDRESS = "127.44.9.9";

const DATAGRAM_PORT = 7380;
const READINESS_PORT = 8108;

/** Data centres by region. */
const REGIONS: Readonly<Record<string, string>> = { a: "north", b: "south", c: "east" };

/** Time after the start that is left out, in milliseconds: the box meets the others. */
const SETTLE_MS = 5_000;

/** Members that ride on a datagram of the boxes that are played. */
const RIDERS = 3;

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

function pickFrom<T>(items: ReadonlyArray<T>): T {
  return items[Math.floor(Math.random() * items.length)] as T;
}

/** The other boxes. */
class PlayedBoxes {
  readonly #members = Array.from({ length: settings.boxes - 1 }, (_, index) => memberAt(index));
  readonly #sockets: ReadonlyArray<Socket>;

  constructor() {
    this.#sockets = this.#members.map((member) => this.#open(member));
  }

  /** Addresses of the first three. */
  get seeds(): ReadonlyArray<string> {
    return this.#members.slice(0, 3).map(({ address }) => address);
  }

  /** Lets one of them ask the box that is measured. */
  ask(): void {
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
      const riders = Array.from({ length: RIDERS }, () => pickFrom(this.#members));
      const progress = { configurationVersion: 1, leafsRevision: 1 };
      const data = encodeFleetMessage({
        ...{ kind, number, progress, crashes: [] },
        members: [self, ...riders],
      });
      this.#sockets[index]?.send(data, DATAGRAM_PORT, MEASURED_ADDRESS);
    }
  }
}

/** What a process has used so far. */
interface ProcessUse {
  readonly processorMs: number;
  readonly mainThreadMs: number;
  readonly wakeUps: number;
}

function useOf(pid: number): ProcessUse {
  const threads = readdirSync(`/proc/${pid}/task`).map((thread) => {
    const ranNs = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0];
    return Number(ranNs) / 1e6;
  });
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const wakeUps = Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)?.[1]);
  const processorMs = threads.reduce((sum, ranMs) => sum + ranMs, 0);
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
  await pause(SETTLE_MS);
  const before = useOf(pid);
  await pause(settings.seconds * 1_000);
  const after = useOf(pid);
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
const target = { shards: SHARDS, topRecords: 5, leastShare: 0.9 };
const route = { host: "h", name: "sweep", prefix: "/sweep/", repeatable: true, gather: target };
platform.put(
  "config",
  "main",
  toOperatorConfiguration({ version: 1, routes: [route], services: SHARDS }),
);
const others = new PlayedBoxes();
const folder = mkdtempSync(join(tmpdir(), "rackvale-standby-"));
const settingsPath = join(folder, "boot.toml");
writeFileSync(settingsPath, settingsText(others.seeds, platform.port));
const box = await startProcess("bin/rackvale_box.js", [], {
  env: { RACKVALE_SETTINGS: settingsPath },
  startedText: "box: started",
});
const questions = setInterval(() => {
  others.ask();
  request(`http://${MEASURED_ADDRESS}:${READINESS_PORT}/api/readyz`, { reset: true })
    .then(({ body }) => body.dump())
    .catch(() => undefined);
}, 1_000);
await measure(box);
clearInterval(questions);
box.signal("SIGKILL");
await box.ended;
others.close();
platform.close();
rmSync(folder, { recursive: true, force: true });
