#!/usr/bin/env node
/**
 * The soak program: long seeded runs with all invariants on.
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { runSoak, type SoakReport } from "./run_soak.js";
import { shrinkSoak } from "./shrink.js";

const USAGE = "Usage: npm run soak -- --seed N --steps N [--runs N]";

const { settings } = parseSettingsOrExit(USAGE, {
  seed: { kind: "number", help: "Seed of the first run", fallback: "1" },
  steps: { kind: "number", help: "Events in each run", fallback: "100000" },
  runs: { kind: "number", help: "Runs, each with the next seed", fallback: "1" },
});

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function tell(report: SoakReport): void {
  const { seed, steps, virtualMs, runs, outcomes, occurred, leavingMs } = report;
  say(
    `soak: seed ${seed}, ${steps} steps, ${virtualMs} ms of virtual time, ${runs} leaf calls run`,
  );
  say(`soak: answers ${JSON.stringify(outcomes)}`);
  say(`soak: occurred ${JSON.stringify(occurred)}`);
  say(`soak: a leaving leaf got work for ${Math.round(leavingMs)} ms at most`);
}

for (let run = 0; run < settings.runs; run++) {
  const options = { seed: settings.seed + run, steps: settings.steps };
  const report = await runSoak(options);
  tell(report);
  if (report.broken.length > 0) {
    say(`soak: seed ${options.seed} failed: ${report.broken.slice(0, 5).join("; ")}`);
    const shrunk = await shrinkSoak(options, report);
    say(`soak: shrunk to ${shrunk.faults.length} faults:`);
    for (const fault of shrunk.faults) {
      say(`  ${JSON.stringify(fault)}`);
    }
    say(`soak: it fails with ${shrunk.broken.slice(0, 5).join("; ")}`);
    process.exit(1);
  }
}
say("soak: ok");
