/**
 * Replays a load pattern with all mechanisms and without some, over several seeds.
 *
 *     npm run replay -- --pattern shed --without loss-shares --seeds 5
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { LOAD_PATTERNS, type LoadPattern, MECHANISMS, type Mechanism, runReplay } from "./mod.js";

const USAGE = "Usage: npm run replay -- [--pattern NAME] [--without NAME,NAME] [--seeds N]";

const SPECS = {
  pattern: { kind: "text", help: "Load pattern; all by default", fallback: "" },
  without: { kind: "text", help: "Mechanisms to go without, by commas", fallback: "" },
  seeds: { kind: "number", help: "Seeds to run", fallback: "3", min: 1, max: 1_000 },
} as const;

const { settings } = parseSettingsOrExit(USAGE, SPECS);
const wanted = settings.without.split(",").filter((name) => name !== "");
const unknown = wanted.find((name) => !MECHANISMS.some((mechanism) => mechanism === name));
const patterns = Object.entries(LOAD_PATTERNS).filter(([name]) => {
  return settings.pattern === "" || settings.pattern === name;
});
if (unknown !== undefined || patterns.length === 0) {
  const known = `patterns ${Object.keys(LOAD_PATTERNS).join(" ")}; mechanisms ${MECHANISMS.join(" ")}`;
  process.stderr.write(`Cannot replay "${unknown ?? settings.pattern}": known are ${known}\n`);
  process.exit(2);
}
const withouts = new Set(wanted as ReadonlyArray<Mechanism>);
for (const [name, pattern] of patterns) {
  printRuns(name, pattern);
}

function printRuns(name: string, pattern: LoadPattern): void {
  const worths: Array<number> = [];
  for (let seed = 1; seed <= settings.seeds; seed++) {
    const account = runReplay(pattern, { seed, without: withouts });
    worths.push(account.worth);
    for (const [kind, tally] of account.tallies) {
      const { asked, earned, failed, heldMs, inAim, late, owed, refused } = tally;
      const counts = `asked ${asked}, in aim ${inAim}, late ${late}, refused ${refused}, failed ${failed}`;
      const worth = (earned / Math.max(1, owed)).toFixed(3);
      const line = `${name} seed ${seed} ${kind}: ${counts}, held ${Math.round(heldMs)} ms, worth ${worth}`;
      process.stdout.write(`${line}\n`);
    }
  }
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
  const spread = Math.max(...worths) - Math.min(...worths);
  process.stdout.write(`${name}: worth ${mean.toFixed(3)}, spread ${spread.toFixed(3)}\n`);
}
