/**
 * The end of an HTTP server in a planned stop: requests that have been begun are answered first.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import type { HttpConnections } from "./http_connections.js";

/** Interval of checks whether all requests have been answered, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Time for writing the last refusals, in milliseconds. */
const WRITE_TIMEOUT_MS = 100;

/** Options of {@link finishRequests}. */
export interface FinishRequestsOptions {
  /**
   * Returns whether a request is in progress that has a deadline of its own, so that it is waited
   * for in any case.
   */
  readonly isAnswering: () => boolean;
  /** Maximum time for reading, answering and writing all other requests, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Accepts no further connections, waits until each request that has been begun is answered and its
 * response written, then closes all connections.
 *
 * @param connections - Connections of the server.
 * @param options - Which requests are waited for, and for how long.
 */
export async function finishRequests(
  connections: HttpConnections,
  { isAnswering, timeoutMs }: FinishRequestsOptions,
): Promise<void> {
  const giveUpAtMs = performance.now() + timeoutMs;
  await connections.stopAccepting();
  do {
    await delay(CHECK_INTERVAL_MS);
    connections.closeIdle();
  } while (isAnswering() || (connections.counts().busy > 0 && performance.now() < giveUpAtMs));
  await connections.close({ timeoutMs: WRITE_TIMEOUT_MS });
}
