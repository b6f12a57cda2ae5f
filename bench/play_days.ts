/**
 * Plays the days of `deploy/days` by a program that plays days, one after the other or a few at a time, and
 * prints a table: each kind of trouble, and pairs of kinds that meet.
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
  program: { kind: "text", help: "The program that plays a day" },
  site: { kind: "text", help: "Site file to play the days on" },
  only: { kind: "text", help: "Plays only days whose name holds this text", fallback: "" },
  jobs: { kind: "number", help: "Days played at a time", fallback: "3", min: 1, max: 8 },
  vary: { kind: "number", help: "Seed of other times and figures; 0 as written", fallback: "0" },
  why: { kind: "text", help: "Line for the journal", fallback: "the project's own days" },
} as const;

const FOLDER = "deploy/days";

interface PlayedDay {
  readonly name: string;
  readonly exitCode: number;
  /** Row of the bench's table; empty where the day was not played. */
  readonly row: string;
}

const { settings } = parseSettingsOrExit(USAGE, SPECS);

function playDay(name: string): Promise<PlayedDay> {
  const file = join(FOLDER, `${name}.toml`);
  const varied = settings.vary === 0 ? [] : ["--vary", "--seed", String(settings.vary)];
  const args = ["run", settings.site, file, ...varied, "--why", settings.why];
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
  const left = [...names];
  const played: Array<PlayedDay> = [];
  async function playNext(): Promise<void> {
    for (let name = left.shift(); name !== undefined; name = left.shift()) {
      const day = await playDay(name);
      played.push(day);
      process.stdout.write(`${day.row}\n`);
    }
  }
  await Promise.all(Array.from({ length: settings.jobs }, playNext));
  return played;
}

const names = readdirSync(FOLDER)
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
