/**
 * Installation for tests that stall entries and pools, with one service of five shards.
 *
 * @module
 */
import type { Test } from "tap";
import type { QueryAnswer } from "../model/mod.js";
import { Fleet, postJson, SAMPLE_SHAPES, urlOf } from "../standins/mod.js";

/** Shape of the service. */
export const SHAPE = { ...SAMPLE_SHAPES["settle-desk"], dataCentres: ["here"] };

/** Time for which a daemon is stalled, in milliseconds: shorter than until it is considered dead. */
export const STALL_MS = 1_200;

/** Content and deadline of a query. */
export interface SentQuery {
  readonly mark: string;
  readonly deadlineMs: number;
}

/**
 * Starts three boxes and the service.
 *
 * @param t - The test, at whose end all processes are ended.
 * @param replicas - Number of leafs that serve each shard.
 * @returns The fleet.
 */
export async function startFleet(t: Test, replicas: number): Promise<Fleet> {
  const adviceKeepMs = 500;
  const fleet = await Fleet.start({
    boxes: 3,
    dataCentres: ["here"],
    seed: 4,
    adviceKeepMs,
    logLevel: "warn",
  });
  t.teardown(() => fleet.stop());
  await fleet.addService({ ...SHAPE, replicas });
  return fleet;
}

/**
 * Sends a query.
 *
 * @param fleet - The fleet.
 * @param box - Index of the box whose entry is called.
 * @param query - The query.
 * @returns The answer.
 */
export async function sendQuery(
  fleet: Fleet,
  box: number,
  { mark, deadlineMs }: SentQuery,
): Promise<QueryAnswer> {
  const url = `${urlOf(fleet.boxes[box]?.entry)}/v1/services/settle-desk/query`;
  const { body } = await postJson(url, { caller: "a", deadlineMs, body: { mark } });
  return body as QueryAnswer;
}

/**
 * Counts the calls that leafs have run.
 *
 * @param fleet - The fleet.
 * @returns Number of runs since the start, or since the runs were last forgotten.
 */
export async function countRuns(fleet: Fleet): Promise<number> {
  const runs = await fleet.queryBackends("/admin/runs");
  return (runs as ReadonlyArray<ReadonlyArray<unknown>>).flat().length;
}
