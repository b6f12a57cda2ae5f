/**
 * Worker thread that sends the queries of one kind.
 *
 * @module
 */
import { parentPort, workerData } from "node:worker_threads";
import { type PlannedQuery, sendLoad } from "./open_loop.js";

const { planned, urls } = workerData as {
  readonly planned: ReadonlyArray<PlannedQuery>;
  readonly urls: ReadonlyArray<string>;
};
parentPort?.postMessage(await sendLoad(planned, { entries: () => urls }));
