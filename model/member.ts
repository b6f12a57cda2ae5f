/**
 * A daemon as the others know it.
 *
 * @module
 */

/** What a daemon does. */
export type Role = "entry" | "pool";

/** How far a member can be relied on, as heard from itself or from others. */
export type MemberState = "joining" | "alive" | "suspect" | "leaving" | "dead";

/** One daemon of the system. */
export interface Member {
  /** Name of the daemon: its box and role. */
  readonly memberId: string;
  /** Never the same for two runs of a daemon. */
  readonly incarnation: string;
  /** Milliseconds of the epoch at the daemon's start; the later of two runs replaces the earlier. */
  readonly startedAtEpochMs: number;
  /** Counts up each time the daemon speaks up about its own state. */
  readonly version: number;
  readonly state: MemberState;
  readonly role: Role;
  readonly box: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Port for other daemons. */
  readonly peerPort: number;
  /** Port for callers and operators; 0 on a pool. */
  readonly callerPort: number;
  /** Processor that the daemon may use, in cores; not told where the box has no limit. */
  readonly processorCores?: number;
}
