/**
 * Installation for tests of planned stops: one service whose calls take a set time.
 *
 * @module
 */
import type { Test } from "tap";
import { Fleet, type FleetProcess, SAMPLE_SHAPES, type ServiceShape } from "../standins/mod.js";

/** Service of the installation. */
export const SERVICE = "settle-desk";

/**
 * Time from SIGTERM until a daemon stops once nothing is in flight, in milliseconds: no address
 * list is cached, and the others learn within this time that it leaves.
 */
export const ADVICE_EXPIRED_MS = 2_500;

/** Options of {@linkcode startStoppingFleet}. */
export interface StoppingFleetOptions extends Partial<Pick<ServiceShape, "rowsPerShard">> {
  readonly boxes: number;
  /** Mean duration of a call, in milliseconds. */
  readonly serviceTimeMs: number;
}

/**
 * Starts boxes whose address lists are not cached, and the service.
 *
 * @param t - The test, at whose end all processes are ended.
 * @param options - Number of boxes, and properties of the service.
 * @returns The fleet.
 */
export async function startStoppingFleet(
  t: Test,
  { boxes, ...shape }: StoppingFleetOptions,
): Promise<Fleet> {
  const dataCentres = ["here"];
  const fleet = await Fleet.start({ boxes, dataCentres, seed: 6, adviceKeepMs: 0 });
  t.teardown(() => fleet.stop());
  await fleet.addService({ ...SAMPLE_SHAPES[SERVICE], dataCentres, ...shape });
  return fleet;
}

/**
 * Counts how often leafs have run calls, by the field `mark` of their bodies.
 *
 * @param fleet - The fleet.
 * @returns Number of runs by mark.
 */
export async function countRunsByMark(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
  const runs = (await fleet.queryBackends("/admin/runs")) as ReadonlyArray<
    ReadonlyArray<{ readonly mark: string }>
  >;
  const counts = new Map<string, number>();
  for (const { mark } of runs.flat()) {
    counts.set(mark, (counts.get(mark) ?? 0) + 1);
  }
  return counts;
}

/**
 * Waits for the exit of a process, and kills it if it takes too long.
 *
 * @param process - The process.
 * @param limitMs - Time after which it is killed, in milliseconds.
 * @returns Exit code; -1 if the process was killed.
 */
export async function exitWithin(
  { exited, signal }: Pick<FleetProcess, "exited" | "signal">,
  limitMs: number,
): Promise<number> {
  const timer = setTimeout(() => signal("SIGKILL"), limitMs);
  return exited.finally(() => clearTimeout(timer));
}
