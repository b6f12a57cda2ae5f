#!/usr/bin/env node
/**
 * The bench: scenarios over real processes and stand-in leafs, rackvale and the naive mode in one
 * run.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { Worker } from "node:worker_threads";
import type { DaemonReport } from "../daemon/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import {
  Fleet,
  type FleetProcess,
  getJson,
  pause,
  postJson,
  SAMPLE_SHAPES,
  startProcess,
  urlOf,
} from "../standins/mod.js";
import { type LoadResult, type PlannedQuery, sendLoad, steadyLoad } from "./open_loop.js";
import { type BenchRow, plotOf, ratiosOf, tableOf } from "./report.js";
import { SCENARIOS, type Scenario } from "./scenarios.js";

const BOXES = 3;
const BACKEND_PROCESSES = 2;
const ADVICE_KEEP_MS = 1_000;
const SETTLE_MS = 1_500;
const WARM_UP_MS = 8_000;
const WARM_UP_RATE = 25;
const SERVICES = ["bidscope", "desk-api", "payout-ledger"] as const;

const { settings } = parseSettingsOrExit("Usage: npm run bench -- [--only NAME] [--json FILE]", {
  seed: { kind: "number", help: "Seed of the stand-ins", fallback: "1" },
  only: {
    kind: "text",
    help: "Runs only the scenarios whose name holds one of these, with commas",
    fallback: "",
  },
  json: { kind: "text", help: "File for the results as JSON; empty for none", fallback: "" },
  plot: { kind: "text", help: "File for the plot as SVG; empty for none", fallback: "" },
  "log-level": { kind: "text", help: "Least level of the daemons' log lines", fallback: "info" },
});

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Keeps the advised entries as a caller does. */
class Advice {
  #urls: ReadonlyArray<string>;
  readonly #timer: NodeJS.Timeout;

  constructor(urls: ReadonlyArray<string>) {
    this.#urls = urls;
    this.#timer = setInterval(() => void this.#renew(), ADVICE_KEEP_MS / 2);
  }

  get urls(): ReadonlyArray<string> {
    return this.#urls;
  }

  async #renew(): Promise<void> {
    for (const url of this.#urls) {
      try {
        const { entries } = (await getJson(`${url}/v1/entries`)) as {
          readonly entries: ReadonlyArray<{ readonly address: string; readonly port: number }>;
        };
        this.#urls = entries.map(({ address, port }) => `http://${address}:${port}`);
        return;
      } catch {
        // The next of the entries advised last is asked.
      }
    }
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}

async function leafCalls(fleet: Fleet, service: string): Promise<number> {
  const stats = (await fleet.askBackends("/admin/stats")) as ReadonlyArray<
    Readonly<Record<string, { readonly calls: number }>>
  >;
  return stats
    .flatMap((each) => Object.entries(each))
    .filter(([leafId]) => leafId.startsWith(service))
    .reduce((sum, [, { calls }]) => sum + calls, 0);
}

/** CPU that the daemons of each role have spent, in microseconds. */
async function cpuByRole(fleet: Fleet): Promise<{ readonly entry: number; readonly pool: number }> {
  const { daemons } = (await getJson(`${urlOf(fleet.boxes[0]?.entry)}/v1/status`)) as {
    readonly daemons: ReadonlyArray<{ readonly report?: DaemonReport }>;
  };
  const spent = (role: "entry" | "pool") =>
    daemons
      .filter(({ report }) => report?.member.role === role)
      .reduce((sum, { report }) => sum + (report?.process.cpuMicros ?? 0), 0);
  return { entry: spent("entry"), pool: spent("pool") };
}

async function runMode(
  fleet: Fleet,
  scenario: Scenario,
  { mode, urls }: { readonly mode: BenchRow["mode"]; readonly urls: () => ReadonlyArray<string> },
): Promise<ReadonlyArray<BenchRow>> {
  await scenario.before?.(fleet);
  await pause(SETTLE_MS);
  const callsBefore = await leafCalls(fleet, scenario.service);
  const cpuBefore = await cpuByRole(fleet);
  const acts = (scenario.acts ?? []).map(async ({ atMs, run }) => {
    await pause(atMs);
    await run(fleet);
  });
  const results = await sendByKind(scenario, urls);
  await Promise.all(acts);
  const calls = (await leafCalls(fleet, scenario.service)) - callsBefore;
  const cpuAfter = await cpuByRole(fleet);
  const cpuMicrosPerCall =
    mode === "naive" || scenario.movesEntries === true
      ? undefined
      : {
          entry: (cpuAfter.entry - cpuBefore.entry) / calls,
          pool: (cpuAfter.pool - cpuBefore.pool) / calls,
        };
  if (cpuMicrosPerCall !== undefined) {
    const { entry, pool } = cpuMicrosPerCall;
    say(`bench: CPU a leaf call: entry ${entry.toFixed(0)} us, pool ${pool.toFixed(0)} us`);
  }
  await scenario.after?.(fleet);
  await pause(SETTLE_MS);
  const needed = neededCalls(scenario.load, results, shardsOf(scenario.service));
  return Object.entries(results).map(([kind, result]) => ({
    scenario: scenario.name,
    kind,
    mode,
    result,
    extraLoadShare: calls / Math.max(1, needed) - 1,
    cpuMicrosPerCall,
  }));
}

/**
 * Sends each kind of query from a thread of its own, so that one kind's answers do not hold up the
 * clock of another; a scenario that moves entries needs the advice and stays on this thread.
 */
async function sendByKind(
  { load, movesEntries = false }: Scenario,
  urls: () => ReadonlyArray<string>,
): Promise<Readonly<Record<string, LoadResult>>> {
  if (movesEntries) {
    return sendLoad(load, { entries: urls });
  }
  const kinds = [...new Set(load.map((query) => query.kind))];
  const results = await Promise.all(
    kinds.map((kind) => {
      const planned = load.filter((query) => query.kind === kind);
      return sendInThread(planned, urls());
    }),
  );
  return Object.assign({}, ...results) as Readonly<Record<string, LoadResult>>;
}

function sendInThread(
  planned: ReadonlyArray<PlannedQuery>,
  urls: ReadonlyArray<string>,
): Promise<Readonly<Record<string, LoadResult>>> {
  const worker = new Worker(new URL("./load_thread.js", import.meta.url), {
    workerData: { planned, urls },
  });
  return new Promise((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
}

function shardsOf(service: Scenario["service"]): number {
  const { instances, leafsPerInstance } = SAMPLE_SHAPES[service];
  return instances * leafsPerInstance;
}

/** One call for each shard of each query that was not refused as not run. */
function neededCalls(
  load: ReadonlyArray<PlannedQuery>,
  results: Readonly<Record<string, LoadResult>>,
  shards: number,
): number {
  const refused = Object.values(results).reduce((sum, each) => sum + each.refusedNotRun, 0);
  return (load.length - refused) * shards;
}

/** Lets both modes' programs be compiled and their connections be opened before anything counts. */
async function warmUp(modes: ReadonlyArray<ReadonlyArray<string>>): Promise<void> {
  say("bench: warms both modes up");
  for (const urls of modes) {
    const load = SERVICES.flatMap((service) =>
      steadyLoad({
        service,
        kind: "warm-up",
        perSecond: WARM_UP_RATE,
        fromMs: 0,
        untilMs: WARM_UP_MS,
        body: (index) => ({ caller: "warm-up", deadlineMs: 2_000, body: { mark: `w${index}` } }),
      }),
    );
    await sendLoad(load, { entries: () => urls });
  }
}

async function startNaive(services: ReadonlyArray<object>): Promise<ReadonlyArray<FleetProcess>> {
  const entries = await Promise.all(
    Array.from({ length: BOXES }, (_, index) =>
      startProcess("bench/naive_entry.js", ["--seed", String(settings.seed + index)]),
    ),
  );
  for (const entry of entries) {
    for (const service of services) {
      await postJson(`${urlOf(entry)}/admin/configure`, service);
    }
  }
  return entries;
}

function chosenScenarios(): ReadonlyArray<Scenario> {
  const names = settings.only.split(",");
  return SCENARIOS.filter(({ name }) => names.some((part) => name.includes(part)));
}

const startedAtMs = performance.now();
const fleet = await Fleet.start({
  boxes: BOXES,
  dataCentres: SAMPLE_SHAPES.bidscope.dataCentres,
  seed: settings.seed,
  adviceKeepMs: ADVICE_KEEP_MS,
  backendProcesses: BACKEND_PROCESSES,
  logLevel: settings["log-level"],
});
const rows: Array<BenchRow> = [];
try {
  const services: Array<object> = [];
  for (const name of SERVICES) {
    // The best few are given early to urgent queries; all others wait for every shard.
    const policies = { finish: "request.priority == 'urgent' ? 0.9 : 1.0" };
    services.push(
      await fleet.addService(SAMPLE_SHAPES[name], (config) => ({ ...config, policies })),
    );
  }
  const naive = await startNaive(services);
  await warmUp([fleet.boxes.map((box) => urlOf(box.entry)), naive.map(urlOf)]);
  for (const scenario of chosenScenarios()) {
    say(`bench: ${scenario.name}: ${scenario.what}`);
    const advice = new Advice(fleet.boxes.map((box) => urlOf(box.entry)));
    rows.push(...(await runMode(fleet, scenario, { mode: "rackvale", urls: () => advice.urls })));
    advice.stop();
    if (scenario.hasNaive) {
      const urls = naive.map(urlOf);
      rows.push(...(await runMode(fleet, scenario, { mode: "naive", urls: () => urls })));
    }
    say(tableOf(rows.filter((row) => row.scenario === scenario.name)));
  }
  for (const entry of naive) {
    entry.signal("SIGKILL");
  }
} finally {
  await fleet.stop();
}
say("");
say(tableOf(rows));
say("");
for (const line of ratiosOf(rows)) {
  say(line);
}
if (settings.json !== "") {
  writeFileSync(settings.json, `${JSON.stringify({ seed: settings.seed, rows }, null, 2)}\n`);
}
if (settings.plot !== "") {
  writeFileSync(settings.plot, await plotOf(rows));
}
say(`bench: ended after ${Math.round((performance.now() - startedAtMs) / 1000)} s`);
process.exit(0);
