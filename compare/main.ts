/**
 * Compares variants of a decision.
 *
 *     npm run compare -- --program PATH --comparison FILE [--out FOLDER]
 *
 * @module
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { parseComparison } from "./comparison.js";
import { comparisonPlot, comparisonReport } from "./comparison_report.js";
import { runComparison } from "./run_comparison.js";

const USAGE = "Usage: npm run compare -- --program PATH --comparison FILE [--out FOLDER]";

function fail(message: string): never {
  process.stderr.write(`${message}\n${USAGE}\n`);
  process.exit(2);
}

function readOptions() {
  try {
    const options = {
      program: { type: "string" },
      comparison: { type: "string" },
      out: { type: "string", default: "." },
    } as const;
    return parseArgs({ options }).values;
  } catch (error) {
    return fail((error as Error).message);
  }
}

const { comparison: path, out, program } = readOptions();
if (path === undefined || program === undefined) {
  fail("Cannot compare: --program and --comparison are required");
}
const parsed = parseComparison(readFileSync(path, "utf8"));
if (parsed.isErr()) {
  fail(parsed.error);
}
const { decision } = parsed.value;
mkdirSync(out, { recursive: true });
const results = await runComparison(parsed.value, {
  program,
  resultsPath: join(out, "results.jsonl"),
  onProgress: (line) => process.stdout.write(`${line}\n`),
});
const report = comparisonReport(decision, results);
writeFileSync(join(out, "report.md"), report);
writeFileSync(join(out, "worth.svg"), await comparisonPlot(decision, results));
process.stdout.write(`${report}\n`);
