/**
 * Plays what a comparison asks for and has not been played yet; each result is kept at once, so that a comparison goes on
 * where it was broken off.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { type Comparison, keyOf, type Play, playsOf } from "./comparison.js";
import type { PlayResult } from "./comparison_report.js";
import { readPlayedDay } from "./played_day.js";

/** How a comparison is played. */
export interface RunComparisonOptions {
  /** The program that plays a day. */
  readonly program: string;
  /** Where results are kept, one a line. */
  readonly resultsPath: string;
  /** Told of each play that has ended. */
  readonly onPlayed: (line: string) => void;
}

/**
 * Plays a comparison.
 *
 * @param comparison - The comparison.
 * @param options - How it is played.
 * @returns All results, those of before included, in the order of the plays.
 */
export async function runComparison(
  comparison: Comparison,
  options: RunComparisonOptions,
): Promise<ReadonlyArray<PlayResult>> {
  const results = new Map(readResults(options.resultsPath).map((each) => [keyOf(each), each]));
  const plays = playsOf(comparison);
  const left = plays.filter((play) => !results.has(keyOf(play)));
  async function playNext(): Promise<void> {
    for (let play = left.shift(); play !== undefined; play = left.shift()) {
      const result = await playDay(comparison, play, options.program);
      if (result === undefined) {
        options.onPlayed(`${keyOf(play)}: not played to its end`);
      } else {
        results.set(keyOf(play), result);
        appendFileSync(options.resultsPath, `${JSON.stringify(result)}\n`);
        options.onPlayed(`${keyOf(play)}: ${result.worth}`);
      }
    }
  }
  await Promise.all(Array.from({ length: comparison.jobs }, playNext));
  return plays.flatMap((play) => results.get(keyOf(play)) ?? []);
}

function readResults(path: string): ReadonlyArray<PlayResult> {
  const text = existsSync(path) ? readFileSync(path, "utf8") : "";
  const lines = text.split("\n").filter((line) => line !== "");
  return lines.map((line) => JSON.parse(line) as PlayResult);
}

async function playDay(
  { decision, extra, sites, ways }: Comparison,
  play: Play,
  program: string,
): Promise<PlayResult | undefined> {
  const { day, seed, site, way } = play;
  const varied = seed === 0 ? [] : ["--vary", "--seed", String(seed)];
  const why = `comparison of ways, ${decision}: ${way}`;
  const args = ["run", sites[site] ?? "", day, ...varied, ...extra, "--why", why];
  const child = spawn(program, args, { cwd: ways[way], stdio: ["ignore", "pipe", "inherit"] });
  let report = "";
  child.stdout.on("data", (chunk: Buffer) => {
    report += chunk.toString();
  });
  await new Promise((resolve) => child.on("close", resolve));
  const played = readPlayedDay(report);
  return played === undefined ? undefined : { ...play, ...played };
}
