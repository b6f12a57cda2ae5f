/**
 * How the paths to leafs ask whether the version of a leaf may be called, and report their calls.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";

/** Why a leaf may not be called because of its version. */
export type VersionBlockCause =
  /** Its version is new to the service, and no order for it may have been read yet. */
  | "held"
  /** This box has used its credit of calls to the target version. */
  | "exposureLimit"
  /** The target version has been judged as bad. */
  | "bad"
  /** The version was rolled back or replaced. */
  | "retired"
  /** All traffic is being switched to the target version. */
  | "switching";

/** A call that is about to be sent. */
export interface VersionCall {
  readonly leaf: Leaf;
  /** Whether it is the first call of its request to this service, and no retry or hedge. */
  readonly isFirst: boolean;
}

/** A call that has ended. */
export interface VersionCallEnd {
  readonly leaf: Leaf;
  /** Name of the route. */
  readonly route: string;
  /** Identifies the query: equal for all requests with the same content. */
  readonly fingerprint: string;
  readonly result: "answered" | "failed" | "connectionClosed" | "refused" | "abandoned";
  /** Time since the call was sent, in milliseconds. */
  readonly elapsedMs: number;
  /** Whether the leaf was still warming up when the call was sent. */
  readonly isCold: boolean;
  /** Whether the leaf is in another region. */
  readonly isRemote: boolean;
  /** Whether the query is suspected of crashing leafs. */
  readonly isSuspected: boolean;
}

/** Decides by the versions of leafs, as seen by this box. */
export interface VersionAccess {
  /**
   * Returns why a leaf may not be called because of its version.
   *
   * @param leaf - The leaf.
   * @returns The cause, or `undefined` if its version may be called.
   */
  blockCause(leaf: Leaf): VersionBlockCause | undefined;
  /**
   * Returns the version to which the first call of a request should go.
   *
   * @param service - The service that is called.
   * @returns The version, or `undefined` if any callable leaf may be selected.
   */
  preferredVersion(service: string): string | undefined;
  /**
   * Records a call right before it is sent.
   *
   * @param call - The call.
   */
  recordCallSent(call: VersionCall): void;
  /**
   * Records the end of a call that was recorded as sent.
   *
   * @param end - How it ended.
   */
  recordCallEnd(end: VersionCallEnd): void;
}

/** Access for deployments without rollouts. */
export const ANY_VERSION: VersionAccess = {
  blockCause: () => undefined,
  preferredVersion: () => undefined,
  recordCallSent: () => undefined,
  recordCallEnd: () => undefined,
};
