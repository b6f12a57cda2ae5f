/**
 * Reduces the faults of a failing run to a smaller set with which it still fails.
 *
 * @module
 */
import { runSoak, type SoakOptions, type SoakReport } from "./run_soak.js";

const MAX_ATTEMPTS = 60;

/**
 * Removes faults in chunks of decreasing size for as long as the run still fails.
 *
 * @param options - Options of the failed run.
 * @param failed - Report of the failed run.
 * @returns The report of the smallest run found.
 */
export async function shrinkSoak(options: SoakOptions, failed: SoakReport): Promise<SoakReport> {
  let best = failed;
  let chunk = Math.ceil(best.faults.length / 2);
  let attempts = 0;
  while (chunk >= 1 && attempts < MAX_ATTEMPTS) {
    let shrunk = false;
    for (let from = 0; from < best.faults.length && attempts < MAX_ATTEMPTS; from += chunk) {
      attempts += 1;
      const faults = best.faults.toSpliced(from, chunk);
      const report = await runSoak({ ...options, faults });
      if (report.violations.length > 0) {
        best = report;
        shrunk = true;
        break;
      }
    }
    chunk = shrunk ? Math.min(chunk, Math.ceil(best.faults.length / 2)) : Math.floor(chunk / 2);
  }
  return best;
}
