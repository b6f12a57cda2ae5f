/**
 * Replays load patterns over several seeds, optionally with some mechanisms disabled.
 *
 *     npm run replay -- --pattern shed --without loss-shares --seeds 5
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { LOAD_PATTERNS, type LoadPattern, MECHANISMS, type Mechanism, runReplay } from "./mod.js";

const USAGE = "Usage: npm run replay -- [--pattern NAME] [--without NAME,NAME] [--seeds N]";

const SPECS = {
  pattern: { kind: "text", help: "Load pattern to replay; all by default", fallback: "" },
  without: { kind: "text", help: "Mechanisms to disable, separated by commas", fallback: "" },
  seeds: { kind: "number", help: "Number of seeds to run", fallback: "3", min: 1, max: 1_000 },
} as const;

const { settings } = parseSettingsOrExit(USAGE, SPECS);
const requested = settings.without.split(",").filter((name) => name !== "");
const unknown = requested.find((name) => !MECHANISMS.some((mechanism) => mechanism === name));
const patterns = Object.entries(LOAD_PATTERNS).filter(([name]) => {
  return settings.pattern === "" || settings.pattern === name;
});
if (unknown !== undefined || patterns.length === 0) {
  const known = `patterns ${Object.keys(LOAD_PATTERNS).join(" ")}; mechanisms ${MECHANISMS.join(" ")}`;
  process.stderr.write(
    `Cannot replay "${unknown ?? settings.pattern}": expected one of ${known}\n`,
  );
  process.exit(2);
}
const disabled = new Set(requested as ReadonlyArray<Mechanism>);
for (const [name, pattern] of patterns) {
  printRuns(name, pattern);
}

function printRuns(name: string, pattern: LoadPattern): void {
  const worths: Array<number> = [];
  for (let seed = 1; seed <= settings.seeds; seed++) {
    const score = runReplay(pattern, { seed, disabled });
    worths.push(score.worth);
    for (const [kind, tally] of score.tallies) {
      const { received, earned, failed, wastedMs, onTime, late, possible, refused } = tally;
      const counts = `received ${received}, on time ${onTime}, late ${late}, refused ${refused}, failed ${failed}`;
      const worth = (earned / Math.max(1, possible)).toFixed(3);
      const line = `${name} seed ${seed} ${kind}: ${counts}, wasted ${Math.round(wastedMs)} ms, worth ${worth}`;
      process.stdout.write(`${line}\n`);
    }
  }
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
  const spread = Math.max(...worths) - Math.min(...worths);
  process.stdout.write(`${name}: worth ${mean.toFixed(3)}, spread ${spread.toFixed(3)}\n`);
}
