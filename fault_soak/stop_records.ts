/**
 * What a soak of planned stops records: requests as their callers saw them, and the stops.
 *
 * @module
 */
import type { RawResponse } from "../standins/raw_caller.js";
import type { RequestShape } from "./request_pieces.js";
import type { SoakBox } from "./soak_fleet.js";

/** A request that a caller wrote to a connection itself. Times in milliseconds, of this process. */
export interface StopRequest {
  readonly requestId: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body: Buffer | undefined;
  readonly shape: RequestShape;
  readonly box: SoakBox;
  /** Number of processes of the box that had ended when its connection was opened. */
  readonly endedCount: number;
  readonly deadlineMs: number;
  readonly startedAtMs: number;
  /** When its last byte was written; `undefined` if the connection closed before. */
  readonly sentAtMs: number | undefined;
  /** When the caller had the response, or saw the connection close, or left. */
  readonly endedAtMs: number;
  /** Whether the caller paused before or while it read the response. */
  readonly isReadLate: boolean;
  /**
   * Time after its last byte for which the caller did not read, so that it could not see the
   * connection close, in milliseconds.
   */
  readonly pausedMs: number;
  /** Number of bytes that had arrived on the connection before the request. */
  readonly earlyBytes: number;
  /** The response; `undefined` if the caller left without one after its deadline. */
  readonly response: RawResponse | undefined;
}

/** The end of a process of a box. Times in milliseconds, of this process. */
export interface ProcessEnd {
  readonly box: SoakBox;
  /** Number of processes of the box that had ended before. */
  readonly endedCount: number;
  /** When SIGTERM was sent; `undefined` if the process ended by itself. */
  readonly requestedAtMs: number | undefined;
  readonly endedAtMs: number;
  /**
   * Time for which a process that was killed at the end of its grace had waited for a processor
   * since SIGTERM, in milliseconds, where that is known.
   */
  readonly waitedMs?: number | undefined;
  /** -1 if the process was killed. */
  readonly exitCode: number;
}
