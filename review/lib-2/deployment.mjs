/**
 * A small deployment for the scripts of the cases: boxes as separate processes, started with the
 * command of `deploy/system.toml`, beside the project's stand-ins of the store and of leafs.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startPlatformStandin } from "../../dist/platform/standin/mod.js";

export { delay };

/** Root of the repository, where the platform starts the boxes. */
const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Words of `run` in `deploy/system.toml`. */
const RUN = [
  "--max-old-space-size=200",
  "--always-sparkplug",
  "target/rackvale_box.cjs",
  "--metrics-port",
  "9464",
];

export const PORTS = { frontend: 8104, readiness: 8108, control: 8106, directory: 8100 };

/** Time after which the platform starts a process again that was killed or has ended, in ms. */
const RESTART_DELAY_MS = 300;

/** Zones and regions as on the sheets of the small deployments. */
const ZONES = { "hall-a": "north", "hall-b": "south", "hall-c": "east" };

/** Longest time of a case, in ms. */
const MAX_CASE_MS = 115_000;

/** Whether the disruption happens; `TROUBLE=0` leaves it out. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Writes lines to `record.txt` in the folder of a case. */
export class RunRecord {
  #path;
  #startMs = performance.now();

  constructor(caseUrl) {
    this.#path = fileURLToPath(new URL("record.txt", caseUrl));
    writeFileSync(this.#path, `TROUBLE=${HAS_TROUBLE ? 1 : 0}\n`);
  }

  add(text) {
    const atS = ((performance.now() - this.#startMs) / 1_000).toFixed(3);
    appendFileSync(this.#path, `${atS} s  ${text}\n`);
  }
}

/** Finds a loopback network on which nothing listens at the ports of boxes. */
async function freeNetwork() {
  for (let tries = 0; tries < 50; tries++) {
    const part = () => 2 + Math.floor(Math.random() * 250);
    const network = `127.${part()}.${part()}`;
    const isFree = await new Promise((resolve) => {
      const probe = net.createServer();
      probe.once("error", () => resolve(false));
      probe.listen(PORTS.frontend, `${network}.1`, () => probe.close(() => resolve(true)));
    });
    if (isFree) {
      return network;
    }
  }
  throw new Error("Cannot find a free loopback network");
}

/** One box: a process that the platform starts, and starts again when it ends. */
class Box {
  constructor(deployment, { name, address, zone }) {
    this.deployment = deployment;
    this.name = name;
    this.address = address;
    this.zone = zone;
    /** How often the process has ended without a signal that ends it. */
    this.endedByItself = 0;
    this.isSupervised = true;
    this.expectsEnd = false;
    this.log = "";
    this.onStart = () => undefined;
  }

  get settingsPath() {
    return join(this.deployment.folder, `${this.name}.toml`);
  }

  start() {
    this.deployment.writeSettings(this);
    const child = spawn(process.execPath, RUN, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, RACKVALE_SETTINGS: this.settingsPath },
    });
    this.child = child;
    this.expectsEnd = false;
    this.deployment.record.add(`${this.name} starts, process ${child.pid}`);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => {
        this.log += chunk;
      });
    }
    this.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.deployment.record.add(`${this.name} ends: code ${code}, signal ${signal}`);
        this.endedByItself += this.expectsEnd ? 0 : 1;
        if (this.isSupervised) {
          setTimeout(() => this.isSupervised && this.start(), RESTART_DELAY_MS);
        }
        resolve();
      });
    });
    this.onStart(this);
  }

  /** Sends a signal. SIGTERM and SIGKILL end the process; all others must not. */
  signal(name) {
    this.deployment.record.add(`${this.name} gets ${name}`);
    this.expectsEnd ||= name === "SIGTERM" || name === "SIGKILL";
    this.child.kill(name);
  }

  async isReady() {
    const { statusCode } = await get(this.address, PORTS.readiness, "/api/readyz");
    return statusCode === 200;
  }
}

/** Sends a GET request of the platform or of an operator; status 0 without an answer. */
export function get(address, port, path) {
  return new Promise((resolve) => {
    const request = http.get({ host: address, port, path, timeout: 1_000 }, (response) => {
      let body = "";
      response.on("data", (chunk) => {
        body += chunk;
      });
      response.on("end", () => resolve({ statusCode: response.statusCode, body }));
      response.on("error", () => resolve({ statusCode: 0, body: "" }));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve({ statusCode: 0, body: "" }));
  });
}

/** A client's request on a connection of its own. */
export function send(box, { method = "GET", path, requestId, deadlineMs = 2_000, body }) {
  return new Promise((resolve) => {
    const headers = {
      host: "h.example",
      "x-request-id": requestId,
      "x-deadline-ms": String(deadlineMs),
    };
    const options = { host: box.address, port: PORTS.frontend, method, path, headers };
    const request = http.request({ ...options, agent: false, timeout: deadlineMs }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      const end = (isComplete) => {
        const { headers: answered, statusCode } = response;
        resolve({ statusCode, headers: answered, body: Buffer.concat(chunks), isComplete });
      };
      response.on("end", () => end(response.complete));
      response.on("error", () => end(false));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", (error) => {
      resolve({ statusCode: 0, headers: {}, body: Buffer.alloc(0), error: error.message });
    });
    request.end(body);
  });
}

/** Waits until a condition holds; throws after a time, in ms. */
export async function until(condition, what, timeoutMs = 20_000) {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      throw new Error(`Timed out: ${what}`);
    }
    await delay(50);
  }
}

/** Boxes and a store. */
export class Deployment {
  boxes = [];
  folder = mkdtempSync(join(tmpdir(), "rackvale-review-"));
  /** Addresses that the settings name as seeds; those of the first three boxes by default. */
  seeds = undefined;
  /** Further bounds of the settings, as lines of TOML. */
  bounds = [];
  contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"];

  constructor(record, platform, network) {
    this.record = record;
    this.platform = platform;
    this.network = network;
    // Also if the script itself is ended.
    process.once("exit", () => this.killAll());
    for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) {
      process.once(name, () => process.exit(2));
    }
  }

  killAll() {
    for (const box of this.boxes) {
      box.isSupervised = false;
      box.child?.kill("SIGKILL");
    }
  }

  static async start(record) {
    const platform = await startPlatformStandin({ address: "127.0.0.1", port: 0 });
    return new Deployment(record, platform, await freeNetwork());
  }

  /** Writes the configuration to the store, as the operator does. */
  configure(configuration) {
    this.record.add(`the operator writes version ${configuration.version} of the configuration`);
    this.platform.put("config", "main", configuration);
  }

  addBox(zone) {
    const number = this.boxes.length + 1;
    const address = `${this.network}.${number}`;
    const box = new Box(this, { name: `frontend-${zone}-${number}`, address, zone });
    this.boxes.push(box);
    return box;
  }

  /** Fills the settings file of a box, as the platform does. */
  writeSettings({ name, address, zone, settingsPath, storePort }) {
    const seeds = this.seeds ?? this.boxes.slice(0, 3).map((box) => box.address);
    const text = [
      `nodeName = "${name}"`,
      'role = "rackvale-box"',
      'serves = ["frontend","control_plane","directory"]',
      `ip = "${address}"`,
      `zone = "${zone}"`,
      `region = "${ZONES[zone]}"`,
      "internalPorts = [7380,7395]",
      `seeds = [${seeds.map((each) => `"${each}:${PORTS.control}"`).join(",")}]`,
      "heartbeatMs = 1200",
      `contracts = ${JSON.stringify(this.contracts)}`,
      "[zones]",
      ...Object.entries(ZONES).map(([each, region]) => `${each} = "${region}"`),
      "[bindAddresses]",
      ...Object.entries(PORTS).map(([role, port]) => `${role} = "${address}:${port}"`),
      "[limits]",
      "cpuShare = 0.675",
      "cores = 1",
      "memoryMb = 350",
      "[bounds]",
      "contactMs = 4000",
      "drainMs = 3000",
      "graceS = 6",
      "lossSlackMs = 200",
      "configApplyMs = 3000",
      "retryBudgetRatio = 0.2",
      "budgetWindowS = 10",
      "budgetSlack = 54",
      "ttl_max_s = 5",
      ...this.bounds,
      "[platform]",
      `address = "127.0.0.1:${storePort ?? this.platform.port}"`,
      "",
    ].join("\n");
    writeFileSync(settingsPath, text);
  }

  /** Ends all processes, by their ids. */
  async stop() {
    for (const box of this.boxes) {
      box.isSupervised = false;
      if (box.child?.exitCode === null && box.child.signalCode === null) {
        box.signal("SIGKILL");
        await box.ended;
      }
    }
    this.platform.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
 * not run.
 */
export async function runCase(caseUrl, run) {
  const record = new RunRecord(caseUrl);
  const giveUp = (reason) => {
    record.add(`could not run: ${reason}`);
    process.stderr.write(`could not run: ${reason}\n`);
    process.exit(2);
  };
  setTimeout(() => giveUp("it took too long"), MAX_CASE_MS).unref();
  process.on("uncaughtException", (error) => giveUp(error.stack));
  let deployment;
  let exitCode = 2;
  try {
    deployment = await Deployment.start(record);
    const broken = await run(deployment, record);
    for (const line of broken) {
      record.add(`BROKEN: ${line}`);
    }
    record.add(broken.length > 0 ? "the rule was broken" : "the rule held");
    process.stdout.write(broken.length > 0 ? `${broken.join("\n")}\n` : "the rule held\n");
    exitCode = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    process.stderr.write(`could not run: ${error.message}\n`);
  }
  await deployment?.stop();
  process.exit(exitCode);
}
