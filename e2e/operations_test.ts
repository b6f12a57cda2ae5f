import { execFile } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import {
  Fleet,
  LOOPBACK,
  SAMPLE_SHAPES,
  sampleConfig,
  sampleLeafs,
  sampleShardMap,
  urlOf,
} from "../standins/mod.js";

const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

interface CommandResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

function run(program: string, args: ReadonlyArray<string>): Promise<CommandResult> {
  const path = new URL(`../bin/${program}.js`, import.meta.url).pathname;
  return new Promise((resolve) => {
    execFile(process.execPath, [path, ...args], (error, output, errors) => {
      resolve({ code: error === null ? 0 : Number(error.code), output, errors });
    });
  });
}

function startFleet(boxes: number, adviceKeepMs = 500): Promise<Fleet> {
  return Fleet.start({ boxes, dataCentres: ["here"], seed: 3, adviceKeepMs, logLevel: "warn" });
}

t.test("each binary supports --help and rejects invalid flags with exit code 2", async (t) => {
  for (const program of ["rackvale_entry", "rackvale_pool", "rackvale"]) {
    const help = await run(program, ["--help"]);
    t.equal(help.code, 0);
    t.match(help.output, /^Usage: /);
    const unknown = await run(program, ["--no-such-flag"]);
    t.equal(unknown.code, 2);
  }
  const faulty = await run("rackvale_pool", ["--peer-port", "many", "--box", "b", "--frob"]);
  t.equal(faulty.code, 2);
  const lines = faulty.errors.trim().split("\n");
  t.match(lines, [/--frob: unknown flag/, /--data-centre .* is missing/]);
  t.ok(lines.some((line) => line.includes('Cannot accept --peer-port "many"')));
});

t.test("operators manage services through the command line", async (t) => {
  const fleet = await startFleet(2);
  t.teardown(() => fleet.stop());
  const entry = ["--entry", urlOf(fleet.boxes[0]?.entry)];
  const directory = mkdtempSync(join(tmpdir(), "rackvale-"));
  const shardMap = sampleShardMap(SHAPE, "v1");
  const leafs = sampleLeafs(SHAPE, shardMap, { address: LOOPBACK, seed: 1 });
  const config = sampleConfig(SHAPE, await fleet.startLeafs(leafs), { address: LOOPBACK });
  const files = { config: join(directory, "service.json"), map: join(directory, "map.json") };
  writeFileSync(files.config, JSON.stringify(config));
  writeFileSync(files.map, JSON.stringify(shardMap));

  await t.test("a new service goes from submission to its first answer", async (t) => {
    const submitted = await run("rackvale", [
      "service",
      "submit",
      files.config,
      "--wait",
      ...entry,
    ]);
    t.equal(submitted.code, 0, submitted.errors);
    t.match(submitted.output, /in force on 4 daemons/);
    t.equal((await run("rackvale", ["shardmap", "submit", files.map, "--wait", ...entry])).code, 0);
    const query = await run("rackvale", ["query", "settle-desk", "--json", ...entry]);
    t.match(JSON.parse(query.output), { outcome: "complete", snapshot: "v1", revision: 1 });
    const once = await run("rackvale", ["query", "settle-desk", "--once", ...entry]);
    t.match(once.output, /^complete/);
  });

  await t.test("a conflicting submission names the one that succeeded", async (t) => {
    const submission = ["service", "submit", files.config, "--base", "1", ...entry];
    const results = await Promise.all([
      run("rackvale", [...submission, "--author", "ann"]),
      run("rackvale", [...submission, "--author", "ben"]),
    ]);
    t.same(results.map((result) => result.code).sort(), [0, 3]);
    t.match(results.find((result) => result.code === 3)?.output, /(ann|ben) won with revision 2/);
  });

  await t.test(
    "a submission succeeds without a reply of the platform, and an outage is reported as not run",
    async (t) => {
      await fleet.setPlatformFaults({ loseReplies: 1 });
      const unanswered = await run("rackvale", ["service", "submit", files.config, ...entry]);
      t.equal(unanswered.code, 0, unanswered.output);
      t.match(unanswered.output, /revision 3/);
      await fleet.setPlatformFaults({ mode: "down" });
      const down = await run("rackvale", ["service", "submit", files.config, ...entry]);
      t.equal(down.code, 1);
      t.match(down.output, /nothing took effect/);
      const query = await run("rackvale", ["query", "settle-desk", ...entry]);
      t.match(query.output, /^complete/, "queries are still answered");
      await fleet.setPlatformFaults({ mode: "up" });
    },
  );

  await t.test("errors in files and policies are reported with their position", async (t) => {
    const policies = { policies: { retry: "1 +\n* 2" } };
    writeFileSync(files.map, JSON.stringify(policies));
    const checked = await run("rackvale", ["policy", "check", files.map, ...entry]);
    t.equal(checked.code, 1);
    t.match(checked.output, /line 1, column 3/);
    writeFileSync(files.map, JSON.stringify({ ...config, ...policies }));
    const refused = await run("rackvale", ["service", "submit", files.map, ...entry]);
    t.equal(refused.code, 2);
    t.match(refused.errors, /field policies.retry/);
    t.equal((await run("rackvale", ["service", "get", "nothing", ...entry])).code, 1);
  });

  await t.test("history, diff, list, entries and status show what is in force", async (t) => {
    const history = await run("rackvale", ["service", "history", "settle-desk", ...entry]);
    t.equal(history.output.trim().split("\n").length, 3);
    writeFileSync(files.config, JSON.stringify({ ...config, policies: { retry: "2" } }));
    t.match(
      (await run("rackvale", ["service", "diff", files.config, ...entry])).output,
      /\+.*retry/,
    );
    t.match(
      (await run("rackvale", ["service", "list", ...entry])).output,
      /settle-desk revision 3/,
    );
    t.match((await run("rackvale", ["entries", ...entry])).output, /box-2/);
    t.match(
      (await run("rackvale", ["status", ...entry])).output,
      /box-1\/pool is ready, healthy, owns/,
    );
  });
});
