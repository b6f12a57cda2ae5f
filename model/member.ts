/**
 * A daemon as a member of the cluster.
 *
 * @module
 */

/** Role of a daemon. */
export type Role = "entry" | "pool";

/** Liveness of a member, as reported by itself or by other members. */
export type MemberState = "joining" | "alive" | "suspect" | "leaving" | "dead";

/** One daemon of the cluster. */
export interface Member {
  /** Identifies the daemon by its box and role. */
  readonly memberId: string;
  /** Unique to each run of the daemon. */
  readonly incarnation: string;
  /**
   * Start time of the daemon, in milliseconds since the epoch; a later run replaces an earlier one.
   */
  readonly startedAtEpochMs: number;
  /** Incremented each time the daemon publishes its own state. */
  readonly version: number;
  readonly state: MemberState;
  readonly role: Role;
  readonly box: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Port that other daemons connect to. */
  readonly peerPort: number;
  /** Port that callers and operators connect to; 0 for a pool daemon. */
  readonly callerPort: number;
  /** CPU limit of the daemon, in cores; absent if the box has no limit. */
  readonly processorCores?: number;
}
