#!/usr/bin/env node
/**
 * Command line of the fault soak: seeded runs over real processes.
 *
 * @module
 */
import { parseSettingsOrExit } from "../settings/mod.js";
import { runFaultSoak } from "./run_fault_soak.js";
import { runStopSoak } from "./run_stop_soak.js";

const USAGE =
  "Usage: npm run fault-soak -- --seed N --runs N --seconds N --boxes N [--rollouts | --stops [--busy N]]";

const { settings } = parseSettingsOrExit(USAGE, {
  seed: { kind: "number", help: "Seed of the first run", fallback: "1" },
  runs: { kind: "number", help: "Number of runs, each with the next seed", fallback: "1" },
  boxes: {
    kind: "number",
    help: "Number of boxes, each with its own process",
    fallback: "4",
    min: 2,
    max: 250,
  },
  rollouts: {
    kind: "flag",
    help: "Rolls out good and bad versions of leafs among the faults",
    fallback: "false",
  },
  stops: {
    kind: "flag",
    help: "Stops boxes as planned, under callers that write to their connections themselves",
    fallback: "false",
  },
  busy: {
    kind: "number",
    help: "With --stops: processes that keep processors busy beside the boxes",
    fallback: "0",
    min: 0,
    max: 8,
  },
  seconds: {
    kind: "number",
    help: "Time in which faults start in each run, in seconds",
    fallback: "15",
  },
});

let failed = 0;
for (let run = 0; run < settings.runs; run++) {
  const options = {
    seed: settings.seed + run,
    durationMs: settings.seconds * 1_000,
    boxes: settings.boxes,
    rollouts: settings.rollouts,
    busyProcesses: settings.busy,
  };
  const report = await (settings.stops ? runStopSoak(options) : runFaultSoak(options));
  failed += report.broken.length > 0 ? 1 : 0;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`fault soak: ${settings.runs - failed} runs passed, ${failed} failed\n`);
process.exit(failed > 0 ? 1 : 0);
