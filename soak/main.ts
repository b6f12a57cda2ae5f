#!/usr/bin/env node
/**
 * Entry point of the soak: long seeded runs with all invariants enabled.
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { runSoak, type SoakReport } from "./run_soak.js";
import { shrinkSoak } from "./shrink.js";

const USAGE = "Usage: npm run soak -- --seed N --steps N [--runs N]";

const { settings } = parseSettingsOrExit(USAGE, {
  seed: { kind: "number", help: "Seed of the first run", fallback: "1" },
  steps: { kind: "number", help: "Minimum number of events in each run", fallback: "100000" },
  runs: { kind: "number", help: "Number of runs, each with the next seed", fallback: "1" },
});

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printReport(report: SoakReport): void {
  const { seed, steps, virtualMs, leafCallCount, outcomes, eventCounts, maxLeavingMs } = report;
  printLine(
    `soak: seed ${seed}, ${steps} steps, ${virtualMs} ms of virtual time, ${leafCallCount} leaf calls`,
  );
  printLine(`soak: answers ${JSON.stringify(outcomes)}`);
  printLine(`soak: occurred ${JSON.stringify(eventCounts)}`);
  printLine(`soak: a leaving leaf received calls for at most ${Math.round(maxLeavingMs)} ms`);
}

for (let run = 0; run < settings.runs; run++) {
  const options = { seed: settings.seed + run, steps: settings.steps };
  const report = await runSoak(options);
  printReport(report);
  if (report.violations.length > 0) {
    printLine(`soak: seed ${options.seed} failed: ${report.violations.slice(0, 5).join("; ")}`);
    const shrunk = await shrinkSoak(options, report);
    printLine(`soak: shrunk to ${shrunk.faults.length} faults:`);
    for (const fault of shrunk.faults) {
      printLine(`  ${JSON.stringify(fault)}`);
    }
    printLine(`soak: violations of the shrunk run: ${shrunk.violations.slice(0, 5).join("; ")}`);
    process.exit(1);
  }
}
printLine("soak: ok");
