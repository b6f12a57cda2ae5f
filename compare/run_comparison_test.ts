import { chmodSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { type Comparison, parseComparison } from "./comparison.js";
import { comparisonPlot, comparisonReport } from "./comparison_report.js";
import { parseDayReport } from "./day_report.js";
import { pairedDifference } from "./paired_difference.js";
import { runComparison } from "./run_comparison.js";

const REPORT = [
  "day                  own/srv  score  worth served refused failed  weakest part",
  "quiet-1                60/18   1.00  0.595  0.904   0.000  0.000  worst windows 0.58",
  "",
  "worth 0.595 = whole day 0.904 (weight 0.6), worst windows 0.584 (weight 0.25)",
  "",
  "class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms",
  "bid-book-sweep         410     359     51       0      0        0  0.871     95.9    212.3",
  "settlement-lookup      133     132      1       0      0        0  0.995    100.6    307.3",
  "",
  "snapshot 9ccdf4f7",
].join("\n");

function comparisonOf(folder: string): Comparison {
  return {
    decision: "which leaf",
    ways: { baseline: join(folder, "baseline"), candidate: join(folder, "candidate") },
    sites: { small: "small.toml" },
    days: ["quiet", "trouble"],
    seeds: [0, 7],
    jobs: 2,
    extra: [],
  };
}

/** Program that reports a worth by the folder it runs in and logs its runs. */
const PROGRAM = `#!/usr/bin/env node
const fs = require("node:fs");
fs.appendFileSync(process.env.RUNS ?? "../runs", process.argv.slice(2).join(" ") + "\\n");
const worth = process.cwd().endsWith("candidate") ? "0.700" : "0.600";
if (process.argv.includes("7") && fs.readFileSync("../runs", "utf8").split("\\n").length < 4) process.exit(1);
console.log("worth " + worth + " = whole day 0.9\\n\\nsnapshot abc123");
`;

t.test("parseDayReport() parses worth, request kinds and the ID of the stored run", async (t) => {
  t.same(parseDayReport(REPORT), {
    worth: 0.595,
    isBroken: false,
    worthByKind: { "bid-book-sweep": 0.871, "settlement-lookup": 0.995 },
    entry: "9ccdf4f7",
  });
  t.equal(parseDayReport("given up for its processor time"), undefined);
});

t.test(
  "pairedDifference() reports no difference within the spread or below the noise floor",
  async (t) => {
    t.equal(pairedDifference([0.05]).verdict, "too few pairs");
    t.equal(pairedDifference([0.02, 0.02, 0.02]).verdict, "no difference beyond the spread");
    t.equal(pairedDifference([0.2, -0.1, 0.15]).verdict, "no difference beyond the spread");
    t.equal(pairedDifference([0.05, 0.06, 0.05]).verdict, "better");
    t.equal(pairedDifference([-0.05, -0.06, -0.05]).verdict, "worse");
  },
);

t.test("parseComparison() rejects a single variant, invalid fields and TOML", async (t) => {
  const one = 'decision = "d"\ndays = ["a"]\n[ways]\na = "."\n[sites]\ns = "s"\n';
  t.match(parseComparison(one)._unsafeUnwrapErr(), /two ways/);
  t.match(parseComparison(`jobs = 90\n${one}`)._unsafeUnwrapErr(), /"jobs"/);
  t.match(parseComparison("no toml")._unsafeUnwrapErr(), /Cannot parse comparison/);
});

t.test(
  "runComparison() pairs variants on the same days and resumes after an interruption",
  async (t) => {
    const folder = mkdtempSync(join(tmpdir(), "rackvale-compare-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const program = join(folder, "play");
    writeFileSync(program, PROGRAM);
    writeFileSync(join(folder, "runs"), "");
    chmodSync(program, 0o755);
    const { mkdirSync } = await import("node:fs");
    mkdirSync(join(folder, "baseline"));
    mkdirSync(join(folder, "candidate"));
    const resultsPath = join(folder, "results.jsonl");
    const messages: Array<string> = [];
    const options = { program, resultsPath, onProgress: (line: string) => messages.push(line) };
    const comparison = comparisonOf(folder);
    await runComparison({ ...comparison, days: ["quiet"], jobs: 1 }, options);
    const results = await runComparison(comparison, options);
    t.equal(results.length, 8);
    const runs = readFileSync(join(folder, "runs"), "utf8").trim().split("\n").length;
    t.equal(
      runs,
      8 + messages.filter((line) => line.endsWith("did not finish")).length,
      "no finished run is repeated",
    );
    const report = comparisonReport(comparison.decision, results);
    t.match(report, /\| candidate \| small \| worth \| 4 \| 0\.100 \| 0\.000 \| better \|/);
    t.match(await comparisonPlot(comparison.decision, results), /^<svg/);
  },
);
