/**
 * Executes the runs of a comparison. Each result is stored as soon as it is available, so that an interrupted comparison
 * resumes with the missing runs.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { type Comparison, listRuns, type Run, runKey } from "./comparison.js";
import type { RunResult } from "./comparison_report.js";
import { parseDayReport } from "./day_report.js";

/** Options of {@linkcode runComparison}. */
export interface RunComparisonOptions {
  /** Path of the program that simulates a day. */
  readonly program: string;
  /** Path of the file of results, with one JSON object per line. */
  readonly resultsPath: string;
  /** Called with a message when a run has ended. */
  readonly onProgress: (line: string) => void;
}

/**
 * Executes those runs of a comparison whose results are not stored yet.
 *
 * @param comparison - The comparison.
 * @param options - Program, path of the results, and progress callback.
 * @returns All results, including those stored earlier, in the order of the runs.
 */
export async function runComparison(
  comparison: Comparison,
  options: RunComparisonOptions,
): Promise<ReadonlyArray<RunResult>> {
  const results = new Map(readResults(options.resultsPath).map((each) => [runKey(each), each]));
  const runs = listRuns(comparison);
  const remaining = runs.filter((run) => !results.has(runKey(run)));
  async function runNext(): Promise<void> {
    for (let run = remaining.shift(); run !== undefined; run = remaining.shift()) {
      const result = await runDay(comparison, run, options.program);
      if (result === undefined) {
        options.onProgress(`${runKey(run)}: did not finish`);
      } else {
        results.set(runKey(run), result);
        appendFileSync(options.resultsPath, `${JSON.stringify(result)}\n`);
        options.onProgress(`${runKey(run)}: ${result.worth}`);
      }
    }
  }
  await Promise.all(Array.from({ length: comparison.jobs }, runNext));
  return runs.flatMap((run) => results.get(runKey(run)) ?? []);
}

function readResults(path: string): ReadonlyArray<RunResult> {
  const text = existsSync(path) ? readFileSync(path, "utf8") : "";
  const lines = text.split("\n").filter((line) => line !== "");
  return lines.map((line) => JSON.parse(line) as RunResult);
}

async function runDay(
  { decision, extra, sites, ways }: Comparison,
  run: Run,
  program: string,
): Promise<RunResult | undefined> {
  const { day, seed, site, way } = run;
  const varied = seed === 0 ? [] : ["--vary", "--seed", String(seed)];
  const why = `comparison of ways, ${decision}: ${way}`;
  const args = ["run", sites[site] ?? "", day, ...varied, ...extra, "--why", why];
  const child = spawn(program, args, { cwd: ways[way], stdio: ["ignore", "pipe", "inherit"] });
  let report = "";
  child.stdout.on("data", (chunk: Buffer) => {
    report += chunk.toString();
  });
  await new Promise((resolve) => child.on("close", resolve));
  const dayReport = parseDayReport(report);
  return dayReport === undefined ? undefined : { ...run, ...dayReport };
}
