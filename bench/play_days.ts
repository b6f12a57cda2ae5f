/**
 * Plays the days (test scenarios) in `deploy/days` with an external program, several at a time, and prints
 * the row of each result.
 *
 *     npm run days -- --program PATH --site SITE-FILE [--only TEXT] [--jobs 3] [--vary SEED]
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { parseSettingsOrExit } from "../settings/mod.js";

const USAGE =
  "Usage: npm run days -- --program PATH --site FILE [--only TEXT] [--jobs N] [--vary SEED]";

const SPECS = {
  program: { kind: "text", help: "Program that plays a day" },
  site: { kind: "text", help: "Site file to play the days on" },
  only: { kind: "text", help: "Plays only days whose name contains this text", fallback: "" },
  jobs: {
    kind: "number",
    help: "Number of days played concurrently",
    fallback: "3",
    min: 1,
    max: 8,
  },
  vary: {
    kind: "number",
    help: "Seed by which times and figures are varied; 0 for none",
    fallback: "0",
  },
  why: {
    kind: "text",
    help: "Reason to record in the journal",
    fallback: "the project's own days",
  },
} as const;

const DAYS_FOLDER = "deploy/days";

interface PlayedDay {
  readonly name: string;
  readonly exitCode: number;
  /** Row of the program's table; the end of its output if the day was not played. */
  readonly row: string;
}

const { settings } = parseSettingsOrExit(USAGE, SPECS);

function playDay(name: string): Promise<PlayedDay> {
  const file = join(DAYS_FOLDER, `${name}.toml`);
  const varyArgs = settings.vary === 0 ? [] : ["--vary", "--seed", String(settings.vary)];
  const args = ["run", settings.site, file, ...varyArgs, "--why", settings.why];
  const child = spawn(settings.program, args, { stdio: ["ignore", "pipe", "pipe"] });
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr.on("data", (chunk: Buffer) => {
    output += chunk.toString();
  });
  return new Promise((resolve) => {
    child.on("close", (code) => {
      const row = output.split("\n").find((line) => line.startsWith(name)) ?? "";
      resolve({ name, exitCode: code ?? -1, row: row === "" ? output.slice(-300) : row });
    });
  });
}

async function playAll(names: ReadonlyArray<string>): Promise<ReadonlyArray<PlayedDay>> {
  const queue = [...names];
  const played: Array<PlayedDay> = [];
  async function playNext(): Promise<void> {
    for (let name = queue.shift(); name !== undefined; name = queue.shift()) {
      const day = await playDay(name);
      played.push(day);
      process.stdout.write(`${day.row}\n`);
    }
  }
  await Promise.all(Array.from({ length: settings.jobs }, playNext));
  return played;
}

const names = readdirSync(DAYS_FOLDER)
  .map((file) => file.replace(/\.toml$/, ""))
  .filter((name) => name.includes(settings.only))
  .sort();
const played = await playAll(names);
const broken = played.filter(({ row }) => row.includes("BROKEN"));
const unplayed = played.filter(({ name, row }) => !row.startsWith(name));
process.stdout.write(
  `${played.length} days, ${broken.length} with a rule broken, ${unplayed.length} not played\n`,
);
process.exitCode = broken.length + unplayed.length > 0 ? 1 : 0;
