/**
 * A request of a fault soak as its caller observed it.
 *
 * @module
 */
import type { CallerResponse } from "../platform/standin/mod.js";
import type { SoakBox } from "./soak_fleet.js";

/** A caller's request with its response. */
export interface ObservedRequest {
  readonly requestId: string;
  readonly path: string;
  readonly body: Buffer | undefined;
  readonly box: SoakBox;
  /** Number of processes of the box that had ended when it was sent. */
  readonly endedCount: number;
  /** When it was sent, on this process's clock, in milliseconds. */
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** Whether the box was in a planned stop, without another fault of its process, when it ended. */
  readonly duringStop: boolean;
  /** `undefined` if the connection closed without a response. */
  readonly response: CallerResponse | undefined;
  /** Whether the caller read it later than it arrived; not by default. */
  readonly isReadLate?: boolean;
}

/** Records a check of an invariant, with details for the report if it does not hold. */
export type CheckInvariant = (invariant: string, holds: boolean, detail: () => string) => void;
