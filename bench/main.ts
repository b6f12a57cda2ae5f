#!/usr/bin/env node
/**
 * Benchmark: runs scenarios on real processes with simulated leafs, and compares rackvale with the
 * naive mode.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { Worker } from "node:worker_threads";
import type { DaemonReport } from "../daemon/mod.js";
import { parseSettingsOrExit } from "../settings/mod.js";
import {
  delay,
  Fleet,
  type FleetProcess,
  getJson,
  postJson,
  SAMPLE_SHAPES,
  startProcess,
  urlOf,
} from "../standins/mod.js";
import { type LoadResult, type PlannedQuery, sendLoad, steadyLoad } from "./open_loop.js";
import { type BenchRow, formatRatios, formatTable, renderPlot } from "./report.js";
import { SCENARIOS, type Scenario } from "./scenarios.js";

const BOXES = 3;
const BACKEND_PROCESSES = 2;
const ADDRESS_TTL_MS = 1_000;
const SETTLE_MS = 1_500;
const WARM_UP_MS = 8_000;
const WARM_UP_RATE = 25;
const SERVICES = ["bidscope", "desk-api", "payout-ledger"] as const;

const { settings } = parseSettingsOrExit("Usage: npm run bench -- [--only NAME] [--json FILE]", {
  seed: { kind: "number", help: "Seed of the stand-ins", fallback: "1" },
  only: {
    kind: "text",
    help: "Runs only scenarios whose name contains one of these comma-separated texts",
    fallback: "",
  },
  json: { kind: "text", help: "File for the results as JSON; empty for none", fallback: "" },
  plot: { kind: "text", help: "File for the plot as SVG; empty for none", fallback: "" },
  "log-level": {
    kind: "text",
    help: "Minimum level of the log lines of the daemons",
    fallback: "info",
  },
});

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Refreshes the list of entry addresses periodically, as a caller does. */
class EntryAddresses {
  #urls: ReadonlyArray<string>;
  readonly #timer: NodeJS.Timeout;

  constructor(urls: ReadonlyArray<string>) {
    this.#urls = urls;
    this.#timer = setInterval(() => void this.#refresh(), ADDRESS_TTL_MS / 2);
  }

  get urls(): ReadonlyArray<string> {
    return this.#urls;
  }

  async #refresh(): Promise<void> {
    for (const url of this.#urls) {
      try {
        const { entries } = (await getJson(`${url}/v1/entries`)) as {
          readonly entries: ReadonlyArray<{ readonly address: string; readonly port: number }>;
        };
        this.#urls = entries.map(({ address, port }) => `http://${address}:${port}`);
        return;
      } catch {
        // Try the next entry of the last list.
      }
    }
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}

async function countLeafCalls(fleet: Fleet, service: string): Promise<number> {
  const stats = (await fleet.queryBackends("/admin/stats")) as ReadonlyArray<
    Readonly<Record<string, { readonly calls: number }>>
  >;
  return stats
    .flatMap((each) => Object.entries(each))
    .filter(([leafId]) => leafId.startsWith(service))
    .reduce((sum, [, { calls }]) => sum + calls, 0);
}

/** Returns the total CPU time of the daemons of each role, in microseconds. */
async function readCpuByRole(
  fleet: Fleet,
): Promise<{ readonly entry: number; readonly pool: number }> {
  const { daemons } = (await getJson(`${urlOf(fleet.boxes[0]?.entry)}/v1/status`)) as {
    readonly daemons: ReadonlyArray<{ readonly report?: DaemonReport }>;
  };
  const cpuMicrosOf = (role: "entry" | "pool") =>
    daemons
      .filter(({ report }) => report?.member.role === role)
      .reduce((sum, { report }) => sum + (report?.process.cpuMicros ?? 0), 0);
  return { entry: cpuMicrosOf("entry"), pool: cpuMicrosOf("pool") };
}

async function runMode(
  fleet: Fleet,
  scenario: Scenario,
  { mode, urls }: { readonly mode: BenchRow["mode"]; readonly urls: () => ReadonlyArray<string> },
): Promise<ReadonlyArray<BenchRow>> {
  await scenario.setUp?.(fleet);
  await delay(SETTLE_MS);
  const callsBefore = await countLeafCalls(fleet, scenario.service);
  const cpuBefore = await readCpuByRole(fleet);
  const actions = (scenario.actions ?? []).map(async ({ atMs, run }) => {
    await delay(atMs);
    await run(fleet);
  });
  const results = await sendByKind(scenario, urls);
  await Promise.all(actions);
  const calls = (await countLeafCalls(fleet, scenario.service)) - callsBefore;
  const cpuAfter = await readCpuByRole(fleet);
  const cpuMicrosPerCall =
    mode === "naive" || scenario.replacesEntries === true
      ? undefined
      : {
          entry: (cpuAfter.entry - cpuBefore.entry) / calls,
          pool: (cpuAfter.pool - cpuBefore.pool) / calls,
        };
  if (cpuMicrosPerCall !== undefined) {
    const { entry, pool } = cpuMicrosPerCall;
    printLine(`bench: CPU per leaf call: entry ${entry.toFixed(0)} us, pool ${pool.toFixed(0)} us`);
  }
  await scenario.tearDown?.(fleet);
  await delay(SETTLE_MS);
  const minCalls = countMinCalls(scenario.load, results, shardCountOf(scenario.service));
  return Object.entries(results).map(([kind, result]) => ({
    scenario: scenario.name,
    kind,
    mode,
    result,
    extraLoadShare: calls / Math.max(1, minCalls) - 1,
    cpuMicrosPerCall,
  }));
}

/**
 * Sends each kind of query from a separate thread, so that processing the answers of one kind does not
 * delay the queries of another. A scenario that replaces entries needs the refreshed addresses and is
 * sent from this thread.
 */
async function sendByKind(
  { load, replacesEntries = false }: Scenario,
  urls: () => ReadonlyArray<string>,
): Promise<Readonly<Record<string, LoadResult>>> {
  if (replacesEntries) {
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

function shardCountOf(service: Scenario["service"]): number {
  const { instances, leafsPerInstance } = SAMPLE_SHAPES[service];
  return instances * leafsPerInstance;
}

/** Computes the minimum number of leaf calls: one for each shard of each query that was not refused. */
function countMinCalls(
  load: ReadonlyArray<PlannedQuery>,
  results: Readonly<Record<string, LoadResult>>,
  shardCount: number,
): number {
  const refusedCount = Object.values(results).reduce((sum, each) => sum + each.refusedNotRun, 0);
  return (load.length - refusedCount) * shardCount;
}

/** Sends load to both modes before the measurement, so that code is compiled and connections are open. */
async function warmUp(modes: ReadonlyArray<ReadonlyArray<string>>): Promise<void> {
  printLine("bench: warming up both modes");
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

function selectScenarios(): ReadonlyArray<Scenario> {
  const names = settings.only.split(",");
  return SCENARIOS.filter(({ name }) => names.some((text) => name.includes(text)));
}

const startedAtMs = performance.now();
const fleet = await Fleet.start({
  boxes: BOXES,
  dataCentres: SAMPLE_SHAPES.bidscope.dataCentres,
  seed: settings.seed,
  adviceKeepMs: ADDRESS_TTL_MS,
  backendProcesses: BACKEND_PROCESSES,
  logLevel: settings["log-level"],
});
const rows: Array<BenchRow> = [];
try {
  const services: Array<object> = [];
  for (const name of SERVICES) {
    // Urgent queries finish early, with 90 % of the shards; all others wait for every shard.
    const policies = { finish: "request.priority == 'urgent' ? 0.9 : 1.0" };
    services.push(
      await fleet.addService(SAMPLE_SHAPES[name], (config) => ({ ...config, policies })),
    );
  }
  const naive = await startNaive(services);
  await warmUp([fleet.boxes.map((box) => urlOf(box.entry)), naive.map(urlOf)]);
  for (const scenario of selectScenarios()) {
    printLine(`bench: ${scenario.name}: ${scenario.description}`);
    const addresses = new EntryAddresses(fleet.boxes.map((box) => urlOf(box.entry)));
    rows.push(
      ...(await runMode(fleet, scenario, { mode: "rackvale", urls: () => addresses.urls })),
    );
    addresses.stop();
    if (scenario.hasNaive) {
      const urls = naive.map(urlOf);
      rows.push(...(await runMode(fleet, scenario, { mode: "naive", urls: () => urls })));
    }
    printLine(formatTable(rows.filter((row) => row.scenario === scenario.name)));
  }
  for (const entry of naive) {
    entry.signal("SIGKILL");
  }
} finally {
  await fleet.stop();
}
printLine("");
printLine(formatTable(rows));
printLine("");
for (const line of formatRatios(rows)) {
  printLine(line);
}
if (settings.json !== "") {
  writeFileSync(settings.json, `${JSON.stringify({ seed: settings.seed, rows }, null, 2)}\n`);
}
if (settings.plot !== "") {
  writeFileSync(settings.plot, await renderPlot(rows));
}
printLine(`bench: finished after ${Math.round((performance.now() - startedAtMs) / 1000)} s`);
process.exit(0);
